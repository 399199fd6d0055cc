package cli

import "github.com/magnoliausher/magnoliausher/contract"

func demoDocument() *contract.Document {
	return &contract.Document{
		Version: 1, ChangeID: "demo", SheetDate: "2026-12-04", Revision: 1,
		Services: []contract.Service{
			{Name: "workshop-assistant", Kind: contract.KindEngine, Model: "workshop-assistant"},
			{Name: "order-portal", Kind: contract.KindPlain, NonRepeatable: []contract.Route{{Method: "POST", Path: "/invoices"}}},
		},
		Groups: []contract.UpstreamGroup{
			{Name: "assistant-a", Service: "workshop-assistant", DataCentre: "mvd-a", Role: "serve", Count: 4},
			{Name: "assistant-b", Service: "workshop-assistant", DataCentre: "mvd-b", Role: "serve", Count: 4},
			{Name: "assistant-c", Service: "workshop-assistant", DataCentre: "mvd-c", Role: "serve", Count: 4},
			{Name: "portal-a", Service: "order-portal", DataCentre: "mvd-a", Role: "serve", Count: 1},
			{Name: "portal-b", Service: "order-portal", DataCentre: "mvd-b", Role: "serve", Count: 1},
			{Name: "portal-c", Service: "order-portal", DataCentre: "mvd-c", Role: "serve", Count: 1},
		},
	}
}
