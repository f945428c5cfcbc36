import type FleetConfiguration from './FleetConfiguration.js';
import RoutingTable from './RoutingTable.js';

/** Holds the newest configuration. Invariant: its version never decreases. */
export default class ConfigurationHolder {
  #table: RoutingTable | null = null;

  /** The table in force, or null before the first configuration. */
  get table(): RoutingTable | null {
    return this.#table;
  }

  /** Accepts a configuration if it is newer. Returns whether it is now in force. */
  accept(configuration: FleetConfiguration): boolean {
    if (this.#table !== null && configuration.version <= this.#table.configuration.version) {
      return false;
    }
    this.#table = new RoutingTable(configuration);
    return true;
  }
}
