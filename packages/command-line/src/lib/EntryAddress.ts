import { z } from 'zod';

const HOST_AND_PORT = /^(\[[0-9A-Fa-f:.]+\]|[A-Za-z0-9.-]+):[0-9]{1,5}$/;

/** Administration address of an entry, `host:port`; an IPv6 host is written in brackets. */
const EntryAddress = z.string().regex(HOST_AND_PORT, 'expected HOST:PORT');
type EntryAddress = z.infer<typeof EntryAddress>;

export default EntryAddress;
