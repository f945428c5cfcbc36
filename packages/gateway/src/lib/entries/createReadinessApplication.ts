import { Hono } from 'hono';

/** Serves the readiness probe: whether this entry accepts requests. */
export default function createReadinessApplication(path: string, isReady: () => boolean): Hono {
  const application = new Hono();
  application.get(path, (context) => (isReady() ? context.text('ready') : context.text('not ready', 503)));
  return application;
}
