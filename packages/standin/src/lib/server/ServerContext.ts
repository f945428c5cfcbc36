import type { HttpBindings } from '@hono/node-server';
import type { Context } from 'hono';

/** A request at a stand-in server. */
type ServerContext = Context<{ Bindings: HttpBindings }>;

export default ServerContext;
