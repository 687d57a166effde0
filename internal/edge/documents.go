package edge

import (
	"context"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/delta"
	"carawayproxy.example/caraway/internal/directory"
	"carawayproxy.example/caraway/internal/feed"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/membership"
	"carawayproxy.example/caraway/internal/routes"
)

// The daemon that reads the store for others broadcasts each version of the routing
// document, as what it does not share with the version that it had before. A daemon that
// lacks that one, or gets no broadcast, reads the document by itself.

// StoredDocument is a routing document with its text in the store.
type StoredDocument struct {
	*routes.Document
	Text []byte
}

// documentDelta is a version of the routing document, as what it does not share with an
// earlier one. Its fields are sent to other daemons.
type documentDelta struct {
	Version uint64 `cbor:"1,keyasint"`
	// Base is the version of the earlier one, zero for none.
	Base uint64 `cbor:"2,keyasint,omitempty"`
	// Sum and BaseSum are the xxHash64 sums of the texts of both, and Bytes is the length
	// of that of this version.
	Sum     uint64 `cbor:"3,keyasint"`
	BaseSum uint64 `cbor:"4,keyasint,omitempty"`
	Bytes   uint64 `cbor:"5,keyasint"`
	Delta   []byte `cbor:"6,keyasint"`
	// Era and Offset are the position of the version in the store.
	Era    uint64 `cbor:"7,keyasint,omitempty"`
	Offset uint64 `cbor:"8,keyasint,omitempty"`
}

// position returns the position of the version in the store.
func (c documentDelta) position() feed.Position { return feed.Position{Era: c.Era, Offset: c.Offset} }

// check returns an error for a change that contradicts itself.
func (c documentDelta) check(key string) error {
	switch {
	case c.Version <= c.Base:
		return errors.Errorf("version %d of the routing document is based on version %d", c.Version, c.Base)
	case key != c.key():
		return errors.Errorf("the key is %q, want %q", key, c.key())
	case c.Bytes > delta.MaxBytes:
		return errors.Errorf("the routing document has %d bytes, want at most %d", c.Bytes, delta.MaxBytes)
	}
	return nil
}

// documentKeyPrefix is the prefix of the broadcast keys of versions of the routing
// document. No server ID starts with it.
const documentKeyPrefix = "document/"

// key returns the broadcast key. Each version has its own, so that a daemon with a slow
// link gets all those on which the newest is based.
func (c documentDelta) key() string { return documentKeyPrefix + strconv.FormatUint(c.Version, 10) }

// maxDeltaBytes bounds the size of a delta that is broadcast: several times that of a
// document for which little is known.
const maxDeltaBytes = 1 << 20

// onDocumentRead applies a version that this daemon has read, and broadcasts it if it
// reads for others.
func (d *Daemon) onDocumentRead(at feed.Position, document StoredDocument, read feed.Transfer) {
	change, err := d.documentReplica.recordVersion(document, at)
	if err != nil {
		d.events.Emit(eventBadRecord, "what", "routing document", "version", document.Version, "position", at, "error", err)
	}
	d.updateDocument(document.Document, sourceStore, read)
	if change == nil || !d.readsForOthers() || len(change.Delta) > maxDeltaBytes {
		return
	}
	body, err := documentBody(*change)
	if err != nil {
		d.events.Emit(eventBadRecord, "what", "bulletin", "key", change.key(), "error", err)
		return
	}
	d.mesh.Broadcast([]membership.Broadcast{{Key: change.key(), Version: change.Version, Body: body}})
}

// documentBody returns the body of the broadcast of a version. Earlier releases take it
// for an old answer of a server that is not on the list, which changes nothing.
func documentBody(c documentDelta) ([]byte, error) {
	s := directory.Server{Instance: fleet.InstanceID(c.key())}
	return cbor.Marshal(serverBroadcast{Server: &s, Answered: true, AgeMilli: uint64(oldAnswerAge.Milliseconds()), Document: &c})
}

// onDocumentDelta records the delta of a version that a peer has broadcast.
func (d *Daemon) onDocumentDelta(b membership.Broadcast, c documentDelta) {
	if err := c.check(b.Key); err != nil {
		d.skipBadRecord("bulletin", b.Key, b.Version, err)
		return
	}
	if d.documentReplica.addDelta(c) {
		wake(d.documentChanged)
	}
}

// followDocumentDeltas applies the versions that peers broadcast, several at once if they
// follow each other closely.
func (d *Daemon) followDocumentDeltas(ctx context.Context) {
	for {
		select {
		case <-d.documentChanged:
		case <-ctx.Done():
			return
		}
		began := time.Now()
		version, text, err := d.documentReplica.applyDeltas()
		if err != nil {
			d.skipBadRecord("bulletin", documentKeyPrefix, version, err)
		}
		if version > 0 {
			document, err := d.env.Platform.DecodeDocument(text)
			if err != nil {
				d.skipBadRecord("routing document", documentKeyPrefix, version, err)
			} else {
				d.updateDocument(document, sourcePeer, feed.Transfer{Bytes: len(text), Body: time.Since(began)})
			}
		}
		if !sleep(ctx, documentInterval) {
			return
		}
	}
}

// updateDocument makes a version take effect if it is newer than the present one.
func (d *Daemon) updateDocument(document *routes.Document, source string, read feed.Transfer) {
	if !d.routes.Update(document) {
		return
	}
	d.directory.InvalidateGroups()
	d.mesh.RequestHeartbeat()
	d.events.Emit(eventDocument, "version", document.Version, "routes", len(document.Routes),
		"services", len(document.Services), "workspaces", len(document.Workspaces), "source", source,
		"bytes", read.Bytes, "head", read.Head.Round(time.Millisecond), "body", read.Body.Round(time.Millisecond))
}

// documentBehindFor returns for how long this daemon has known that there is a version of the
// routing document that it lacks, zero if it knows of none.
func (d *Daemon) documentBehindFor(now time.Time) time.Duration {
	newest := uint64(0)
	for _, p := range d.mesh.View().Peers {
		if p.Alive {
			newest = max(newest, p.Heartbeat.ConfigRevision)
		}
	}
	d.documentReplica.recordPeers(newest, now)
	return d.documentReplica.behindFor(now)
}

// operatorSource is the source of the operator's records of one daemon. A daemon that does
// not read for others gets large documents by broadcasts, as long as they come in time.
type operatorSource struct {
	feed.Source[OperatorRecord]
	d *Daemon
}

// Since implements feed.Source.
func (s operatorSource) Since(ctx context.Context, from feed.Position, wait time.Duration) ([]feed.Item[OperatorRecord], feed.Position, error) {
	d, replica := s.d, &s.d.documentReplica
	if d.readsForOthers() || replica.isSmall() {
		return s.Source.Since(ctx, from, wait)
	}
	state, err := d.env.Platform.OperatorState(ctx)
	switch {
	case err != nil:
		return nil, from, err
	case state.At.Era != from.Era:
		return nil, from, errors.Wrapf(feed.ErrGap, "position %s, end %s", from, state.At)
	}
	d.applyEvacuations(state, sourceStore) // they don't wait for the document
	replica.recordEnd(state.At, time.Now())
	for replica.knownUpTo().Before(state.At) && from.Before(state.At) {
		// A version that came meanwhile may be an earlier one: the wait begins again.
		if d.documentBehindFor(time.Now()) > replica.patience() {
			if known := replica.knownUpTo(); from.Before(known) {
				from = known // the state covers the evacuations before it
			}
			return s.Source.Since(ctx, from, 0)
		}
		if !sleep(ctx, feed.DueInterval) {
			return nil, from, ctx.Err()
		}
	}
	return nil, state.At, nil
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
