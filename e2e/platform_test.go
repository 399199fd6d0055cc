package e2e

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/apierror"
	"github.com/magnoliausher/magnoliausher/attempt"
	"github.com/magnoliausher/magnoliausher/job/client"
)

const outage = 5 * time.Second

// Guards against online requests that wait for the platform, against rejections
// that wrongly claim that a call was not executed, and against batch items that are
// lost or duplicated by an outage with lost responses.
func TestPlatformOutage(t *testing.T) {
	f := newFleet(t, 2, 2)
	c := &client.Client{BaseURL: "http://" + f.entries[0].address, Key: key}
	batch := createBatch(t, c, batchItems)
	time.Sleep(time.Second) // chunks are claimed and items run
	f.platform.SetResponseLossProbability(0.3)
	f.platform.SetOutage(true)
	began := time.Now()
	l := newLoad()
	for i := range requests {
		l.Send(t.Context(), f.entries[i%2].address, fmt.Sprintf("question %d", i), tokens)
		time.Sleep(sendInterval)
	}
	l.Wait()
	for i := range 5 {
		f.checkInvoiceRefused(t, f.entries[i%2], i)
	}
	if _, err := c.Upload(t.Context(), "input.jsonl", bytes.NewReader(batchInput(1))); err == nil {
		t.Error("an upload was acknowledged without the platform")
	}
	time.Sleep(outage - time.Since(began))
	f.platform.SetOutage(false)
	report(t, l)
	if l.Counts().Correct != requests {
		t.Errorf("%d of %d responses are correct", l.Counts().Correct, requests)
	}
	f.awaitBatch(t, c, batch, batchItems)
}

// checkInvoiceRefused sends a call that must be rejected and not be executed.
func (f *fleet) checkInvoiceRefused(t *testing.T, entry *process, i int) {
	t.Helper()
	body := []byte(fmt.Sprintf(`{"refused":%d}`, i))
	resp, err := post(t.Context(), entry.address, "/services/portal/invoices", fmt.Sprintf("refused-%d", i), body)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	executed := resp.Header.Get(apierror.ExecutedHeader)
	if resp.StatusCode != http.StatusServiceUnavailable || executed != string(attempt.ExecutedNo) {
		t.Errorf("status %d, executed %q: %s", resp.StatusCode, executed, text)
	}
	if n := f.portal.ExecutionsByBody(body); n != 0 {
		t.Errorf("a call rejected as not executed was executed %d times", n)
	}
}
