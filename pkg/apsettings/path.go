package apsettings

import (
	"strings"

	"auburnport/pkg/apcode"
	"auburnport/pkg/apfleet"
)

// AnyDataCentre is the data centre in the paths of nodes that apply to every data centre.
const AnyDataCentre apfleet.DataCentre = "-"

// Root is the path of the root node.
const Root Path = "/"

// Depths of the nodes in the tree.
const (
	DepthRoot = iota
	DepthDeployment
	DepthDataCentre
	DepthPool
	DepthService
)

// Path identifies a node. It has the form /deployment/data-centre/pool/service or a prefix of that.
type Path string

// ServicePath returns the path of a service in every data centre.
func ServicePath(deployment string, pool apfleet.PoolName, service apfleet.ServiceName) Path {
	return PoolPath(deployment, pool) + Path("/"+service)
}

// PoolPath returns the path of a pool in every data centre.
func PoolPath(deployment string, pool apfleet.PoolName) Path {
	return Path("/" + deployment + "/" + string(AnyDataCentre) + "/" + string(pool))
}

// Check returns BadPath for a path that is not canonical.
func (p Path) Check() error {
	if p == Root {
		return nil
	}
	if !strings.HasPrefix(string(p), "/") || strings.HasSuffix(string(p), "/") || p.Depth() > DepthService {
		return apcode.Errorf(apcode.BadPath, "%q is not of the form /deployment/data-centre/pool/service", string(p))
	}
	for _, segment := range p.segments() {
		if segment == "" || strings.Trim(segment, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") != "" {
			return apcode.Errorf(apcode.BadPath, "%q: segment %q is empty or has characters other than letters, digits, '-', '_' and '.'", string(p), segment)
		}
	}
	return nil
}

// Depth returns the depth of the node; the root has depth 0.
func (p Path) Depth() int { return len(p.segments()) }

// Deployment returns the first segment, or "" if the path is shorter.
func (p Path) Deployment() string { return p.segment(DepthDeployment) }

// DataCentre returns the second segment, or "" if the path is shorter.
func (p Path) DataCentre() apfleet.DataCentre {
	return apfleet.DataCentre(p.segment(DepthDataCentre))
}

// Pool returns the third segment, or "" if the path is shorter.
func (p Path) Pool() apfleet.PoolName { return apfleet.PoolName(p.segment(DepthPool)) }

// Service returns the fourth segment, or "" if the path is shorter.
func (p Path) Service() apfleet.ServiceName { return apfleet.ServiceName(p.segment(DepthService)) }

// InDataCentre returns the path with its data centre replaced by dc. A path without a data centre is
// returned unchanged.
func (p Path) InDataCentre(dc apfleet.DataCentre) Path {
	segments := p.segments()
	if len(segments) < DepthDataCentre {
		return p
	}
	segments[DepthDataCentre-1] = string(dc)
	return Path("/" + strings.Join(segments, "/"))
}

func (p Path) segments() []string {
	trimmed := strings.TrimPrefix(string(p), "/")
	if trimmed == "" {
		return nil
	}
	return strings.Split(trimmed, "/")
}

func (p Path) segment(depth int) string {
	segments := p.segments()
	if len(segments) < depth {
		return ""
	}
	return segments[depth-1]
}

// inheritanceChain returns p and the paths from which p inherits, nearest first.
func (p Path) inheritanceChain() []Path {
	segments := p.segments()
	chain := make([]Path, 0, 2*len(segments)+1)
	for depth := len(segments); depth > 0; depth-- {
		path := Path("/" + strings.Join(segments[:depth], "/"))
		chain = append(chain, path)
		if depth >= DepthDataCentre && path.DataCentre() != AnyDataCentre {
			chain = append(chain, path.InDataCentre(AnyDataCentre))
		}
	}
	return append(chain, Root)
}
