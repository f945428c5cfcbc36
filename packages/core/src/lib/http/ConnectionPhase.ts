/**
 * Phase of a connection: `new` before its first whole head, `idle` between an answer and the next whole
 * head, `receiving` while a body is unfinished, `unread` while an answer that is finished waits to be read,
 * `serving` while a request is being served, `upgraded` after a change of protocol.
 */
type ConnectionPhase = 'new' | 'idle' | 'receiving' | 'unread' | 'serving' | 'upgraded';

export default ConnectionPhase;
