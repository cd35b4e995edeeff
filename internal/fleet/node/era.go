package node

// HearEra is called when an answer of the store states a higher era than all before: when this
// process starts, and when the store has come back from a copy. What was read before is of no
// use as a position then, so that everything is read again at once, and what this entry wrote
// may be lost, so that it is written again. The first era is a return only if the list was read
// before, from a store that stated none.
func (n *Node) HearEra(era uint64) {
	n.cfg.Log.Info().Uint64("era", era).Msg("store states its era")

	first := !n.eraHeard.Swap(true)
	if first && !n.listApplied.Load() {
		return
	}

	signal(n.refreshList)
	signal(n.refreshConfig)
	n.holder.Wake()
	n.peers.rowWritten.Store(false)
	n.origins.writeAgain()

	go n.crashes.storeAll(n.workCtx)
}

// HearEraError logs that an answer of the store states an era that cannot be used.
func (n *Node) HearEraError(err error) {
	n.cfg.Log.Error().Err(err).Msg("cannot use the store's era")
}
