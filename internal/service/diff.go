package service

import "strings"

const (
	// diffContext is the number of equal lines shown around a difference.
	diffContext = 2
	// maxDiffCells bounds the work of one comparison; beyond it the differing
	// middle is shown as removed and added as a whole.
	maxDiffCells = 1 << 20
)

// diffLine is one line with its mark: ' ' in both, '-' in the old one only,
// '+' in the new one only.
type diffLine struct {
	mark byte
	text string
}

// Diff returns the lines in which two files differ, each marked with "-" or
// "+", with a little context marked with " ", and "..." for what is left out.
// It is empty for equal files.
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
	var head, tail []diffLine
	for len(a) > 0 && len(b) > 0 && a[0] == b[0] {
		head = append(head, diffLine{' ', a[0]})
		a, b = a[1:], b[1:]
	}
	for len(a) > 0 && len(b) > 0 && a[len(a)-1] == b[len(b)-1] {
		tail = append(tail, diffLine{' ', a[len(a)-1]})
		a, b = a[:len(a)-1], b[:len(b)-1]
	}
	out := append(head, diffMiddle(a, b)...)
	for i := len(tail) - 1; i >= 0; i-- {
		out = append(out, tail[i])
	}
	return out
}

// diffMiddle compares by the longest common subsequence.
func diffMiddle(a, b []string) []diffLine {
	var out []diffLine
	i, j := 0, 0
	if len(a)*len(b) <= maxDiffCells {
		common := commonLengths(a, b)
		for i < len(a) && j < len(b) {
			switch {
			case a[i] == b[j]:
				out = append(out, diffLine{' ', a[i]})
				i, j = i+1, j+1
			case common[i+1][j] >= common[i][j+1]:
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

// commonLengths returns for each pair of suffixes the length of their longest
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
