import { Hono } from 'hono';

/** Serves the metrics of this process as text. */
export default function createMetricsApplication(path: string, render: () => string): Hono {
  const application = new Hono();
  application.get(path, (context) => context.text(render()));
  return application;
}
