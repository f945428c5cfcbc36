import { z } from 'zod';
import EntryAddress from './EntryAddress.js';

const DEFAULT_TIMEOUT_SECONDS = 60;
const MAXIMUM_TIMEOUT_SECONDS = 3_600;

/** Command-line options; `timeout` is in seconds. */
const CommandOptions = z.object({
  entry: z.union([EntryAddress.transform((address) => [address]), z.array(EntryAddress)], {
    error: 'expected HOST:PORT',
  }).optional(),
  'token-file': z.string().min(1).optional(),
  settings: z.string().min(1).optional(),
  wait: z.boolean().default(false),
  timeout: z.coerce.number().positive().max(MAXIMUM_TIMEOUT_SECONDS).default(DEFAULT_TIMEOUT_SECONDS),
  log: z.union([z.string().min(1).transform((file) => [file]), z.array(z.string().min(1))]).default([]),
  json: z.boolean().default(false),
});
type CommandOptions = z.infer<typeof CommandOptions>;

export default CommandOptions;
