package job

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"io"
	"time"

	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/storage"
)

// partBytes is the size at which a part object ends, after a whole line. A part
// stays in memory until it is stored, so that a failed write can be repeated.
const partBytes = 1 << 20

// ErrFileTooLarge: the file has more than MaxFileBytes.
var ErrFileTooLarge = errors.New("file is larger than 1 GiB")

// upload is one file on its way into part objects.
type upload struct {
	store  *Store
	file   *File
	check  validator
	digest hash.Hash
	buf    bytes.Buffer
	lines  int   // in buf
	taken  int64 // bytes of the body
}

// Upload streams a file into part objects, validates every line, and writes the
// file's row. Memory is bounded by one part and the validator. A file with bad
// lines gives a finding.List and leaves no row; its parts are removed.
func (s *Store) Upload(ctx context.Context, org, caller, name string, body io.Reader) (*File, error) {
	now := time.Now().UTC()
	u := &upload{
		store: s,
		file: &File{
			ID: newID(fileIDPrefix), Organisation: org, Caller: caller, Name: name,
			Created: now, KeepUntil: now.Add(Retention),
		},
		check:  validator{file: name, seen: make(map[[16]byte]struct{})},
		digest: sha256.New(),
	}
	err := u.read(ctx, body)
	if err == nil {
		err = u.findings()
	}
	if err == nil {
		err = s.insertFile(ctx, u.file)
	}
	if err != nil && !transient(err) {
		s.removeParts(ctx, u.file)
	}
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return u.file, nil
}

// read takes the body line by line. After the first finding lines are only
// checked, no longer stored.
func (u *upload) read(ctx context.Context, body io.Reader) error {
	r := bufio.NewReaderSize(body, 64<<10)
	for n := 1; ; n++ {
		raw, tooLong, err := readLine(r)
		if err != nil && err != io.EOF {
			return trace.Wrap(err)
		}
		end := err == io.EOF
		if end && len(raw) == 0 && !tooLong {
			break
		}
		if err := u.line(ctx, n, raw, tooLong); err != nil {
			return trace.Wrap(err)
		}
		if end {
			break
		}
	}
	u.file.Digest = hex.EncodeToString(u.digest.Sum(nil))
	return u.flush(ctx)
}

func (u *upload) line(ctx context.Context, n int, raw []byte, tooLong bool) error {
	u.taken += int64(len(raw)) + 1
	if u.taken > MaxFileBytes {
		return ErrFileTooLarge
	}
	raw = bytes.TrimSuffix(raw, []byte("\r"))
	switch {
	case tooLong:
		u.check.items++
		u.check.add(n, "", "", "longer than 1 MiB")
		return nil
	case len(bytes.TrimSpace(raw)) == 0:
		return nil // blank lines are no items
	}
	u.check.check(n, raw)
	if len(u.check.findings) > 0 {
		return nil
	}
	u.digest.Write(raw)
	u.digest.Write([]byte{'\n'})
	u.buf.Write(raw)
	u.buf.WriteByte('\n')
	u.lines++
	if u.buf.Len() >= partBytes {
		return u.flush(ctx)
	}
	return nil
}

func (u *upload) flush(ctx context.Context) error {
	if u.lines == 0 || len(u.check.findings) > 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	key := partKey(u.file.ID, len(u.file.Parts))
	_, err := retry(ctx, func() (struct{}, error) {
		return struct{}{}, u.store.objects.Put(ctx, key, bytes.NewReader(u.buf.Bytes()))
	})
	if err != nil {
		return trace.Wrap(err)
	}
	u.file.Parts = append(u.file.Parts, FilePart{Lines: u.lines, Bytes: u.buf.Len()})
	u.file.Bytes += int64(u.buf.Len())
	u.buf.Reset()
	u.lines = 0
	return nil
}

func (u *upload) findings() error {
	v := &u.check
	if v.items == 0 {
		v.add(0, "", "", "the file has no items")
	}
	if v.dropped > 0 {
		v.findings[len(v.findings)-1].Reason += fmt.Sprintf(" (and %d more findings)", v.dropped)
	}
	u.file.Items = v.items
	u.file.Endpoint = v.endpoint
	u.file.Model = v.model
	return v.findings.Err()
}

// insertFile writes the row. Ids are random, so a row that exists is this one.
func (s *Store) insertFile(ctx context.Context, f *File) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	tx := storage.Transaction{Writes: []storage.Write{{Key: fileKey(f.ID), Value: mustJSON(f)}}}
	_, err := retry(ctx, func() ([]uint64, error) { return s.table.Commit(ctx, tx) })
	if errors.Is(err, storage.ErrConflict) {
		return nil
	}
	return trace.Wrap(err)
}

// removeParts is best effort; retention removes what is left.
func (s *Store) removeParts(ctx context.Context, f *File) {
	for n := range f.Parts {
		_ = s.objects.Delete(ctx, partKey(f.ID, n))
	}
}

// readLine returns a line without its end. A line above MaxLineBytes is
// skipped with tooLong set. io.EOF comes with the last line.
func readLine(r *bufio.Reader) (raw []byte, tooLong bool, err error) {
	for {
		piece, err := r.ReadSlice('\n')
		if len(raw)+len(piece) > MaxLineBytes+1 {
			tooLong = true
			raw = raw[:0]
		}
		if !tooLong {
			raw = append(raw, piece...)
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		return bytes.TrimSuffix(raw, []byte{'\n'}), tooLong, err
	}
}

func shortDigest(s string) [16]byte {
	sum := sha256.Sum256([]byte(s))
	return [16]byte(sum[:16])
}
