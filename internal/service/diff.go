package service

import "strings"

const (
	// diffContext is the number of equal lines shown around each difference.
	diffContext = 2
	// maxDiffCells bounds the table of one comparison. Above it, all lines
	// between the common prefix and suffix are shown as removed and added.
	maxDiffCells = 1 << 20
)

// diffLine is one line with its mark: ' ' for a line in both files, '-' for one
// only in the old file, '+' for one only in the new file.
type diffLine struct {
	mark byte
	text string
}

// Diff returns the lines in which two files differ, marked with "-" or "+", and
// diffContext equal lines around them, marked with " ". Omitted lines are shown
// as "...". The result is empty for equal files.
func Diff(oldBody, newBody string) string {
	if oldBody == newBody {
		return ""
	}
	lines := diffLines(splitLines(oldBody), splitLines(newBody))
	var b strings.Builder
	skipped := false
	for i, l := range lines {
		if !nearChange(lines, i) {
			skipped = true
			continue
		}
		if skipped {
			b.WriteString("...\n")
			skipped = false
		}
		b.WriteByte(l.mark)
		b.WriteString(l.text)
		b.WriteByte('\n')
	}
	return b.String()
}

func splitLines(body string) []string {
	if body == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(body, "\n"), "\n")
}

func nearChange(lines []diffLine, i int) bool {
	for j := max(0, i-diffContext); j <= min(len(lines)-1, i+diffContext); j++ {
		if lines[j].mark != ' ' {
			return true
		}
	}
	return false
}

func diffLines(a, b []string) []diffLine {
	var prefix, suffix []diffLine
	for len(a) > 0 && len(b) > 0 && a[0] == b[0] {
		prefix = append(prefix, diffLine{' ', a[0]})
		a, b = a[1:], b[1:]
	}
	for len(a) > 0 && len(b) > 0 && a[len(a)-1] == b[len(b)-1] {
		suffix = append(suffix, diffLine{' ', a[len(a)-1]})
		a, b = a[:len(a)-1], b[:len(b)-1]
	}
	out := append(prefix, diffMiddle(a, b)...)
	for i := len(suffix) - 1; i >= 0; i-- {
		out = append(out, suffix[i])
	}
	return out
}

// diffMiddle compares two files by their longest common subsequence.
func diffMiddle(a, b []string) []diffLine {
	var out []diffLine
	i, j := 0, 0
	if len(a)*len(b) <= maxDiffCells {
		lengths := commonLengths(a, b)
		for i < len(a) && j < len(b) {
			switch {
			case a[i] == b[j]:
				out = append(out, diffLine{' ', a[i]})
				i, j = i+1, j+1
			case lengths[i+1][j] >= lengths[i][j+1]:
				out = append(out, diffLine{'-', a[i]})
				i++
			default:
				out = append(out, diffLine{'+', b[j]})
				j++
			}
		}
	}
	for ; i < len(a); i++ {
		out = append(out, diffLine{'-', a[i]})
	}
	for ; j < len(b); j++ {
		out = append(out, diffLine{'+', b[j]})
	}
	return out
}

// commonLengths returns, for each pair of suffixes, the length of their longest
// common subsequence.
func commonLengths(a, b []string) [][]int {
	rows := make([][]int, len(a)+1)
	for i := range rows {
		rows[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				rows[i][j] = rows[i+1][j+1] + 1
				continue
			}
			rows[i][j] = max(rows[i+1][j], rows[i][j+1])
		}
	}
	return rows
}
