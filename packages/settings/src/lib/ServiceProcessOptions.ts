import type { ZodType } from 'zod';
import type ServiceProcess from './ServiceProcess.js';

/** Options of `runServiceProcess`. */
export default interface ServiceProcessOptions<Settings> {
  /** Name of the process in error messages. */
  readonly name: string;
  readonly settingsFile: string;
  readonly schema: ZodType<Settings>;
  /** Validates the settings without starting the process. */
  readonly checkOnly: boolean;
  readonly start: (settings: Settings) => Promise<ServiceProcess>;
}
