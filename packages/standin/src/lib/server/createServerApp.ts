import type { HttpBindings } from '@hono/node-server';
import { Hono } from 'hono';
import type ServerApp from './ServerApp.js';

/** An application without routes. */
export default function createServerApp(): ServerApp {
  return new Hono<{ Bindings: HttpBindings }>();
}
