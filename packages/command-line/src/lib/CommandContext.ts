import type AdministrationClient from './AdministrationClient.js';
import type CommandOptions from './CommandOptions.js';
import type Terminal from './Terminal.js';

/** Dependencies and options of a command that sends requests to the entries. */
export default interface CommandContext {
  readonly terminal: Terminal;
  readonly client: AdministrationClient;
  readonly options: CommandOptions;
}
