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

	"github.com/magnoliausher/magnoliausher/effect"
	"github.com/magnoliausher/magnoliausher/storage"
)

// targetPartBytes is the size from which a part object is closed at the next line end.
// A part is buffered until it is stored, so that a failed write can be retried.
const targetPartBytes = 1 << 20

// ErrFileTooLarge means that the file is larger than MaxFileBytes.
var ErrFileTooLarge = errors.New("file is larger than 1 GiB")

// upload is the state of one file upload.
type upload struct {
	store     *Store
	file      *File
	validator validator
	digest    hash.Hash
	buf       bytes.Buffer
	lines     int   // in buf
	bytesRead int64 // bytes of the body
}

// Upload streams a file into part objects, validates every line, and writes the
// file's row. Memory is bounded by one part and the validator. For a file with invalid
// lines it returns a finding.List, writes no row and removes the parts.
func (s *Store) Upload(ctx context.Context, org, caller, name string, body io.Reader) (*File, error) {
	now := time.Now().UTC()
	u := &upload{
		store: s,
		file: &File{
			ID: newID(fileIDPrefix), Organisation: org, Caller: caller, Name: name,
			Created: now, KeepUntil: now.Add(Retention),
		},
		validator: validator{file: name, seenIDs: make(map[[16]byte]struct{})},
		digest:    sha256.New(),
	}
	err := u.read(ctx, body)
	if err == nil {
		err = u.finish()
	}
	known := effect.NotPerformed // parts without a row are no file
	if err == nil {
		known, err = s.insertFile(ctx, u.file)
	}
	if err != nil && !transient(err) && known == effect.NotPerformed {
		s.removeParts(ctx, u.file)
	}
	if err != nil {
		return nil, trace.Wrap(withOutcome(err, known))
	}
	return u.file, nil
}

// read reads the body line by line. After the first finding, lines are validated but
// no longer stored.
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
		if err := u.addLine(ctx, n, raw, tooLong); err != nil {
			return trace.Wrap(err)
		}
		if end {
			break
		}
	}
	u.file.Digest = hex.EncodeToString(u.digest.Sum(nil))
	return u.flush(ctx)
}

// addLine validates line n and adds it to the current part, unless the line is blank or
// the file has findings. raw is the line without its line feed; if tooLong is set, raw
// is empty, because readLine discards such a line.
func (u *upload) addLine(ctx context.Context, n int, raw []byte, tooLong bool) error {
	u.bytesRead += int64(len(raw)) + 1
	if u.bytesRead > MaxFileBytes {
		return ErrFileTooLarge
	}
	raw = bytes.TrimSuffix(raw, []byte("\r"))
	switch {
	case tooLong:
		u.validator.items++
		u.validator.addFinding(n, "", "", "longer than 1 MiB")
		return nil
	case len(bytes.TrimSpace(raw)) == 0:
		return nil // skip blank lines
	}
	u.validator.checkLine(n, raw)
	if len(u.validator.findings) > 0 {
		return nil
	}
	u.digest.Write(raw)
	u.digest.Write([]byte{'\n'})
	u.buf.Write(raw)
	u.buf.WriteByte('\n')
	u.lines++
	if u.buf.Len() >= targetPartBytes {
		return u.flush(ctx)
	}
	return nil
}

func (u *upload) flush(ctx context.Context) error {
	if u.lines == 0 || len(u.validator.findings) > 0 {
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

func (u *upload) finish() error {
	v := &u.validator
	if v.items == 0 {
		v.addFinding(0, "", "", "the file has no items")
	}
	if v.omittedFindings > 0 {
		v.findings[len(v.findings)-1].Reason += fmt.Sprintf(" (and %d more findings)", v.omittedFindings)
	}
	u.file.Items = v.items
	u.file.Endpoint = v.endpoint
	u.file.Model = v.model
	return v.findings.Err()
}

// insertFile writes the file's row, and returns what is known of all its attempts. Ids
// are random, so a conflict means that an earlier attempt wrote the row.
func (s *Store) insertFile(ctx context.Context, f *File) (effect.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	tx := storage.Transaction{Writes: []storage.Write{{Key: fileKey(f.ID), Value: mustJSON(f)}}}
	known := effect.NotPerformed
	_, err := retry(ctx, func() ([]uint64, error) {
		versions, err := s.table.Commit(ctx, tx)
		known = known.Either(storage.WriteOutcome(err))
		return versions, err
	})
	if errors.Is(err, storage.ErrConflict) {
		return effect.Performed, nil
	}
	return known, trace.Wrap(err)
}

// removeParts removes the parts on a best-effort basis; the sweeper removes the rest.
func (s *Store) removeParts(ctx context.Context, f *File) {
	for n := range f.Parts {
		_ = s.objects.Delete(ctx, partKey(f.ID, n))
	}
}

// readLine returns a line without its line end. A line longer than MaxLineBytes is
// skipped and reported with tooLong. The last line is returned with io.EOF.
func readLine(r *bufio.Reader) (raw []byte, tooLong bool, err error) {
	for {
		fragment, err := r.ReadSlice('\n')
		if len(raw)+len(fragment) > MaxLineBytes+1 {
			tooLong = true
			raw = raw[:0]
		}
		if !tooLong {
			raw = append(raw, fragment...)
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
