import { Hono } from 'hono';

/** Tells whether this entry takes requests. */
export default function createReadinessApplication(path: string, isReady: () => boolean): Hono {
  const application = new Hono();
  application.get(path, (context) => (isReady() ? context.text('ready') : context.text('not ready', 503)));
  return application;
}
