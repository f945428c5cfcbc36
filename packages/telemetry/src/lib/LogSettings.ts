import { z } from 'zod';

/** Settings of the log of a process. */
const LogSettings = z.strictObject({
  /** Minimum severity that is written. */
  level: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
  /** `text`: one readable line per event. `json`: one JSON object per event. */
  format: z.enum(['text', 'json']).default('text'),
});
type LogSettings = z.infer<typeof LogSettings>;

export default LogSettings;
