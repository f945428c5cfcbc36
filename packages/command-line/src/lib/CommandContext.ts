import type AdministrationClient from './AdministrationClient.js';
import type CommandOptions from './CommandOptions.js';
import type Terminal from './Terminal.js';

/** What a command that talks to the entries works with. */
export default interface CommandContext {
  readonly terminal: Terminal;
  readonly client: AdministrationClient;
  readonly options: CommandOptions;
}
