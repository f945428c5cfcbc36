import { z } from 'zod';
import EntryAddress from './EntryAddress.js';

/** Contents of the settings file. */
const CommandSettings = z.strictObject({
  /** Administration addresses of entries, in the order in which they are tried. */
  entries: z.array(EntryAddress).min(1),
  /** File that holds the operators' token; relative to the working directory. */
  tokenFile: z.string().min(1).optional(),
});
type CommandSettings = z.infer<typeof CommandSettings>;

export default CommandSettings;
