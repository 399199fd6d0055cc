package effect

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// checkedDirectories hold code that answers callers.
var checkedDirectories = []string{"apierror", "entry", "forward", "job", "operator", "platform"}

// exceptions are the functions that may write another status, with the reason.
var exceptions = map[string]string{
	"entry/health.go writeJSON":            "readiness, which says nothing of a request, and 200",
	"entry/plain.go writeHeader":           "a service's own status; receiver.onHead passes it through Outcome.Status",
	"forward/reply.go begin":               "an upstream's own status that reply.judge lets pass, or one of writeErrorWithHeader, which passes it through Outcome.Status",
	"forward/reply.go event":               "200 of an upstream's event stream",
	"platform/ingress.go ReadinessHandler": "readiness, which says nothing of a request",
}

// Guards against an answer that promises "not run" without Outcome.Status.
func TestStatusesPassThroughOutcome(t *testing.T) {
	needed := map[string]bool{}
	for _, directory := range checkedDirectories {
		for _, w := range scanDirectory(t, directory) {
			needed[w.function] = true
			if exceptions[w.function] == "" {
				t.Errorf("%s: %s writes a status that does not come from effect.Outcome.Status", w.position, w.function)
			}
		}
	}
	for function := range exceptions {
		if !needed[function] {
			t.Errorf("the exception for %s is not needed", function)
		}
	}
}

// Guards against a scan that overlooks a way to write a status, or reports right ones.
func TestScanFindsStatuses(t *testing.T) {
	for body, want := range map[string]int{
		`w.WriteHeader(http.StatusOK)`:                                0,
		`w.WriteHeader(504)`:                                          0,
		`w.WriteHeader(known.Status(status))`:                         0,
		`w.WriteHeader(e.ResponseStatus())`:                           0,
		`w.WriteHeader(status)`:                                       1,
		`w.WriteHeader(e.Status)`:                                     1,
		`w.WriteHeader(503)`:                                          1,
		`w.WriteHeader(http.StatusTooManyRequests)`:                   1,
		`s.writer.w.WriteHeader(max(a, b))`:                           1,
		`http.Error(w, "busy", http.StatusServiceUnavailable)`:        1,
		`http.Error(w, "missing", http.StatusNotFound)`:               0,
		`h = http.TimeoutHandler(h, time.Second, "")`:                 1,
		`_, _ = io.WriteString(conn, "HTTP/1.1 421 Misdirected\r\n")`: 1,
		`write := w.WriteHeader; write(status)`:                       1,
		`func() { w.WriteHeader(status) }()`:                          1,
	} {
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, "x.go", "package x\nfunc f() {\n"+body+"\n}\n", 0)
		if err != nil {
			t.Fatal(err)
		}
		if found := scanFile(files, file, "x/x.go"); len(found) != want {
			t.Errorf("%s: found %d, want %d", body, len(found), want)
		}
	}
}

// statusWrite is a place that writes a status which may be a promise.
type statusWrite struct{ position, function string }

func scanDirectory(t *testing.T, directory string) []statusWrite {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join("..", directory, "*.go"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no source in %s: %v", directory, err)
	}
	var found []statusWrite
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		found = append(found, scanFile(files, file, directory+"/"+filepath.Base(path))...)
	}
	return found
}

// scanFile returns the places of a file that write a status without Outcome.Status.
func scanFile(files *token.FileSet, file *ast.File, name string) []statusWrite {
	var found []statusWrite
	for _, declaration := range file.Decls {
		function := name
		if f, ok := declaration.(*ast.FuncDecl); ok {
			function += " " + f.Name.Name
		}
		right := map[ast.Node]bool{} // callees of calls that write a status which is no promise
		ast.Inspect(declaration, func(n ast.Node) bool {
			if call, ok := n.(*ast.CallExpr); ok && len(call.Args) > 0 && noPromise(call.Args[len(call.Args)-1]) {
				right[call.Fun] = true
			}
			if writesStatus(n) && !right[n] {
				found = append(found, statusWrite{files.Position(n.Pos()).String(), function})
			}
			return true
		})
	}
	return found
}

// writesStatus reports whether a node is a function that writes the status in its last
// argument, a handler that answers 503 by itself, or a status line.
func writesStatus(n ast.Node) bool {
	switch n := n.(type) {
	case *ast.SelectorExpr:
		pkg, _ := n.X.(*ast.Ident)
		inHTTP := pkg != nil && pkg.Name == "http"
		return n.Sel.Name == "WriteHeader" || (inHTTP && (n.Sel.Name == "Error" || n.Sel.Name == "TimeoutHandler"))
	case *ast.BasicLit:
		return n.Kind == token.STRING && strings.Contains(n.Value, "HTTP/1.1 ")
	}
	return false
}

// noPromise reports whether a status comes from Outcome.Status, or is a constant that
// promises nothing.
func noPromise(status ast.Expr) bool {
	switch status := status.(type) {
	case *ast.CallExpr:
		method, ok := status.Fun.(*ast.SelectorExpr)
		return ok && (method.Sel.Name == "Status" && len(status.Args) == 1 || method.Sel.Name == "ResponseStatus" && len(status.Args) == 0)
	case *ast.BasicLit:
		value, err := strconv.Atoi(status.Value)
		return err == nil && !Promises(value)
	case *ast.SelectorExpr:
		pkg, _ := status.X.(*ast.Ident)
		return pkg != nil && pkg.Name == "http" && strings.HasPrefix(status.Sel.Name, "Status") && !slices.Contains(promiseNames, status.Sel.Name)
	}
	return false
}

// promiseNames are the constants of net/http for which Promises is true.
var promiseNames = []string{"StatusRequestTimeout", "StatusMisdirectedRequest", "StatusTooManyRequests", "StatusServiceUnavailable"}
