import type { ZodType } from 'zod';
import type ServiceProcess from './ServiceProcess.js';

/** How `runServiceProcess` starts a process. */
export default interface ServiceProcessOptions<Settings> {
  /** Name of the process in messages. */
  readonly name: string;
  readonly settingsFile: string;
  readonly schema: ZodType<Settings>;
  /** Check the settings only. */
  readonly checkOnly: boolean;
  readonly start: (settings: Settings) => Promise<ServiceProcess>;
}
