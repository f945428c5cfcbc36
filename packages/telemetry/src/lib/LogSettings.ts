import { z } from 'zod';

/** How a process writes its log. */
const LogSettings = z.strictObject({
  /** The least severe level that is written. */
  level: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
  /** `text`: one readable line an event. `json`: one JSON object an event. */
  format: z.enum(['text', 'json']).default('text'),
});
type LogSettings = z.infer<typeof LogSettings>;

export default LogSettings;
