package storage

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
)

// decodeInstances decodes the platform's instance list. An entry of another writer
// that names no usable instance is passed to invalid and left out; the others hold.
func decodeInstances(data []byte, invalid func(error)) (InstancesBody, error) {
	var body InstancesBody
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber() // a number out of range must not end the list
	if err := expectDelimiter(decoder, '{'); err != nil {
		return body, err
	}
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return body, err
		}
		if name == "instances" {
			err = decodeEntries(decoder, data, &body, invalid)
		} else {
			err = decodeField(decoder, data, fmt.Sprint(name), &body)
		}
		if err != nil {
			return body, err
		}
	}
	return body, expectDelimiter(decoder, '}')
}

func expectDelimiter(decoder *json.Decoder, want json.Delim) error {
	token, err := decoder.Token()
	if err == nil && token != want {
		err = fmt.Errorf("found %v instead of %v", token, want)
	}
	return err
}

// decodeEntries decodes the array of instances, or null.
func decodeEntries(decoder *json.Decoder, data []byte, body *InstancesBody, invalid func(error)) error {
	token, err := decoder.Token()
	if err != nil || token == nil {
		return err
	}
	if token != json.Delim('[') {
		return fmt.Errorf("found %v instead of a list of instances", token)
	}
	body.Instances = []Instance{}
	for decoder.More() {
		entry, err := rawValue(decoder, data)
		if err != nil {
			return err
		}
		in, err := decodeInstance(entry)
		if err != nil {
			invalid(err)
			continue
		}
		body.Instances = append(body.Instances, in)
	}
	return expectDelimiter(decoder, ']')
}

// decodeField decodes another field of the list; unknown ones are skipped.
func decodeField(decoder *json.Decoder, data []byte, name string, body *InstancesBody) error {
	value, err := rawValue(decoder, data)
	if err != nil {
		return err
	}
	switch name {
	case "revision":
		return json.Unmarshal(value, &body.Revision)
	case "unchanged":
		return json.Unmarshal(value, &body.Unchanged)
	}
	return nil
}

// rawValue reads the next value and returns its bytes. Unlike json.RawMessage it takes
// values of any depth.
func rawValue(decoder *json.Decoder, data []byte) ([]byte, error) {
	start := decoder.InputOffset()
	for depth := 0; ; {
		token, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		switch token {
		case json.Delim('['), json.Delim('{'):
			depth++
		case json.Delim(']'), json.Delim('}'):
			depth--
		}
		if depth == 0 {
			return bytes.TrimLeft(data[start:decoder.InputOffset()], ",: \t\r\n"), nil
		}
	}
}

// maxEntryInError limits the part of an entry that an error quotes.
const maxEntryInError = 200

func decodeInstance(entry []byte) (Instance, error) {
	var in Instance
	err := json.Unmarshal(entry, &in)
	switch {
	case err != nil:
	case in.ID == "":
		err = fmt.Errorf("no id")
	case in.Role != RoleEntry && in.Role != RoleAgent:
		err = fmt.Errorf("unknown role %q", in.Role)
	case in.State != InstanceLive && in.State != InstanceLeaving:
		err = fmt.Errorf("unknown state %q", in.State)
	default:
		var address netip.AddrPort
		if address, err = netip.ParseAddrPort(in.Address); err == nil && address.Port() == 0 {
			err = fmt.Errorf("address %q has no port", in.Address)
		}
	}
	if err != nil {
		return Instance{}, fmt.Errorf("instance entry %.*q: %w", maxEntryInError, entry, err)
	}
	return in, nil
}
