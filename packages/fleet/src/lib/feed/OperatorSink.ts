import type { AvailabilityZoneId, TableRow } from '@dandelionlane/core';
import type { Log } from '@dandelionlane/telemetry';
import type ConfigurationHolder from '../configuration/ConfigurationHolder.js';
import type FleetRows from './FleetRows.js';
import type RowSink from './RowSink.js';

/** Takes the operators' configuration and the zones that are out of service. */
export default class OperatorSink implements RowSink {
  readonly #rows: FleetRows;

  readonly #configuration: ConfigurationHolder;

  readonly #log: Log;

  #closedZones = new Set<AvailabilityZoneId>();

  constructor(rows: FleetRows, configuration: ConfigurationHolder, log: Log) {
    this.#rows = rows;
    this.#configuration = configuration;
    this.#log = log;
  }

  /** Zones whose workers get no new work. */
  get closedZones(): ReadonlySet<AvailabilityZoneId> {
    return this.#closedZones;
  }

  reset(rows: readonly TableRow[]): void {
    const before = this.#closedZones;
    this.#closedZones = new Set();
    rows.forEach((row) => this.#take(row, before));
    before.forEach((zone) => {
      if (!this.#closedZones.has(zone)) {
        this.#log.info('Zone is back in service.', { zone });
      }
    });
  }

  change(rows: readonly TableRow[]): void {
    rows.forEach((row) => this.#take(row, this.#closedZones));
  }

  // eslint-disable-next-line class-methods-use-this -- operators' rows do not lapse
  storeReturned(): void {
    // Nothing to do: what operators wrote holds until they change it.
  }

  #take(row: TableRow, closedBefore: ReadonlySet<AvailabilityZoneId>): void {
    const decoded = this.#rows.readOperatorRow(row);
    switch (decoded.kind) {
      case 'configuration': {
        const { version } = decoded.configuration;
        if (this.#configuration.accept(decoded.configuration)) {
          this.#log.info('Configuration is in force.', { configuration: version, row: row.version });
        }
        break;
      }
      case 'zone-closed':
        if (!closedBefore.has(decoded.zone)) {
          this.#log.info('Zone is out of service.', { zone: decoded.zone, row: row.version });
        }
        this.#closedZones.add(decoded.zone);
        break;
      case 'zone-opened':
        this.#closedZones.delete(decoded.zone);
        this.#log.info('Zone is back in service.', { zone: decoded.zone, row: row.version });
        break;
      case 'other':
        break;
      case 'invalid':
        this.#log.error('Operator row is invalid, keeping what was in force.', { key: row.key, reason: decoded.reason });
        break;
      default:
        decoded satisfies never;
    }
  }
}
