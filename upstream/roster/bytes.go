package roster

// hasRoomFor reports whether the bodies of the requests that this process has running at an
// upstream, with one more, stay within Need.MostBytes. One request always does.
func (u *Upstream) hasRoomFor(need Need) bool {
	return u.bytes == 0 || need.MostBytes <= 0 || u.bytes+need.Bytes <= need.MostBytes
}
