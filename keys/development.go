package keys

import (
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

// Names of the authorities that Initialise creates. Each kind of connection has an authority of
// its own, so that a certificate for one kind is not accepted on another.
const (
	AuthorityRouters   = "routers-ca"
	AuthorityOperators = "operators-ca"
	AuthorityCallers   = "callers-ca"
	AuthorityTargets   = "targets-ca"
	// CallerCertificate is the name of the certificate of the listeners for callers.
	CallerCertificate = "callers"
)

// Suffixes of the files, which are in PEM.
const (
	certSuffix = ".crt"
	keySuffix  = ".key"
)

const (
	folderMode = 0o700
	certMode   = 0o644
	keyMode    = 0o600
)

// localHosts are hosts that development certificates of listeners are always valid for.
var localHosts = []string{"localhost", "127.0.0.1", "::1"}

// Plan says which files Initialise creates.
type Plan struct {
	// Folder is where the files are written.
	Folder string
	// Routers and Targets are the names of which each gets a certificate.
	Routers []string
	Targets []string
	// Callers are the names of which each gets a client certificate for the listeners for
	// callers.
	Callers []string
	// Hosts are further DNS names and IP addresses of the routers and of the listeners for
	// callers.
	Hosts []string
	// Valid is how long the certificates are valid, from Now on.
	Valid time.Duration
	Now   time.Time
}

// CertFile returns the path of a name's certificate in the folder.
func CertFile(folder, name string) string { return filepath.Join(folder, name+certSuffix) }

// KeyFile returns the path of a name's private key in the folder.
func KeyFile(folder, name string) string { return filepath.Join(folder, name+keySuffix) }

// Initialise creates the authorities and certificates of a development system and returns the
// paths of the files. It overwrites nothing: if any of the files exists, it writes none and
// returns an error of type *Error.
func Initialise(p Plan) ([]string, error) {
	pairs, err := p.issueAll()
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(p.Folder, folderMode); err != nil {
		return nil, errors.Wrap(err, "create the folder")
	}
	var files []outputFile
	for _, pair := range pairs {
		files = append(files, pair.files(p.Folder)...)
	}
	for _, file := range files {
		if _, err := os.Lstat(file.name); !errors.Is(err, os.ErrNotExist) {
			return nil, &Error{file.name, "the file already exists; nothing was written", "name another folder, or remove the old files"}
		}
	}
	var names []string
	for _, file := range files {
		if err := writeNew(file.name, file.data, file.mode); err != nil {
			return names, err
		}
		names = append(names, file.name)
	}
	return names, nil
}

// issuedPair is a certificate and its private key, to be written under a name.
type issuedPair struct {
	name string
	pair *Pair
	// list is the empty revocation list if the pair is an authority's; otherwise nil.
	list []byte
}

// files returns the files of the pair with their content.
func (n *issuedPair) files(folder string) []outputFile {
	files := []outputFile{
		{CertFile(folder, n.name), n.pair.Cert, certMode},
		{KeyFile(folder, n.name), n.pair.Key, keyMode},
	}
	if n.list != nil {
		files = append(files, outputFile{RevocationListFile(folder, n.name), n.list, certMode})
	}
	return files
}

// outputFile is a file to be written.
type outputFile struct {
	name string
	data []byte
	mode os.FileMode
}

// issueBatch lists the certificates that one authority issues.
type issueBatch struct {
	authority string
	subjects  []Subject
	// files are the names of the subjects' files without suffix, in the order of subjects.
	files []string
}

func (b *issueBatch) add(file string, s Subject) {
	b.files = append(b.files, file)
	b.subjects = append(b.subjects, s)
}

func (p *Plan) batches() []*issueBatch {
	hosts := append(append([]string(nil), localHosts...), p.Hosts...)
	routers, operators := &issueBatch{authority: AuthorityRouters}, &issueBatch{authority: AuthorityOperators}
	callers, targets := &issueBatch{authority: AuthorityCallers}, &issueBatch{authority: AuthorityTargets}
	for _, name := range p.Routers {
		routers.add(name, Subject{Name: name, DNS: true, Role: RoleRouter, Hosts: hosts, Use: Both})
	}
	for _, role := range []Role{RoleRead, RoleOperate, RoleAdminister} {
		operators.add(string(role), Subject{Name: "operator-" + string(role), Role: role, Use: Client})
	}
	callers.add(CallerCertificate, Subject{Name: CallerCertificate, Hosts: hosts, Use: Server})
	for _, name := range p.Callers {
		callers.add(name, Subject{Name: name, Use: Client})
	}
	for _, name := range p.Targets {
		targets.add(name, Subject{Name: name, DNS: true, Use: Server})
	}
	return []*issueBatch{routers, operators, callers, targets}
}

func (p *Plan) issueAll() ([]issuedPair, error) {
	var pairs []issuedPair
	seen := make(map[string]bool)
	for _, b := range p.batches() {
		a, pair, err := NewAuthority(b.authority, p.Now, p.Valid)
		if err != nil {
			return nil, err
		}
		list, err := a.SignRevocationList(big.NewInt(1), nil, p.Now, p.Valid)
		if err != nil {
			return nil, err
		}
		pairs = append(pairs, issuedPair{b.authority, pair, list})
		for i, subject := range b.subjects {
			pair, err := a.Issue(subject, p.Now, p.Valid)
			if err != nil {
				return nil, errors.Wrap(err, b.files[i])
			}
			pairs = append(pairs, issuedPair{b.files[i], pair, nil})
		}
	}
	for _, pair := range pairs {
		if seen[pair.name] {
			return nil, errors.Errorf("two certificates would be named %q; give the router or target another name", pair.name)
		}
		seen[pair.name] = true
	}
	return pairs, nil
}

// writeNew creates the file with the content; it fails if the file exists.
func writeNew(file string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = f.Write(data)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, file)
}
