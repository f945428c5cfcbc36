import type { HttpBindings } from '@hono/node-server';
import type { Hono } from 'hono';

/** Application of a stand-in server. */
type ServerApp = Hono<{ Bindings: HttpBindings }>;

export default ServerApp;
