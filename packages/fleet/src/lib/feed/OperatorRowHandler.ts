import {
  ReportedRows, type AvailabilityZoneId, type Clock, type TableRow,
} from '@dandelionlane/core';
import type { Log } from '@dandelionlane/telemetry';
import type ConfigurationHolder from '../configuration/ConfigurationHolder.js';
import type FleetRowDecoder from './FleetRowDecoder.js';
import type OperatorRow from './OperatorRow.js';
import type RowHandler from './RowHandler.js';

/**
 * Time after a restoration of the store for which a zone stays out of service although the copy has no
 * row for it, in ms: operators' rows are written again within seconds.
 */
const REWRITE_GRACE_MILLISECONDS = 10_000;

/** Applies the operators' configuration and tracks the zones that are out of service. */
export default class OperatorRowHandler implements RowHandler {
  readonly #rows: FleetRowDecoder;

  readonly #configuration: ConfigurationHolder;

  readonly #clock: Clock;

  readonly #log: Log;

  readonly #reported = new ReportedRows();

  #closedZones = new Set<AvailabilityZoneId>();

  /** Zones out of service for which a restored store had no row. */
  #unconfirmedZones: ReadonlySet<AvailabilityZoneId> = new Set();

  #unconfirmedUntil = Number.NEGATIVE_INFINITY;

  #isFromCopy = false;

  constructor(rows: FleetRowDecoder, configuration: ConfigurationHolder, clock: Clock, log: Log) {
    this.#rows = rows;
    this.#configuration = configuration;
    this.#clock = clock;
    this.#log = log;
  }

  /** Zones whose workers get no new requests. */
  get closedZones(): ReadonlySet<AvailabilityZoneId> {
    this.#expireUnconfirmed();
    return this.#unconfirmedZones.size === 0
      ? this.#closedZones : new Set([...this.#closedZones, ...this.#unconfirmedZones]);
  }

  handleSnapshot(rows: readonly TableRow[]): void {
    const before = this.closedZones;
    this.#closedZones = new Set();
    rows.forEach((row) => this.#apply(row, before));
    const missing = [...before].filter((zone) => !this.#closedZones.has(zone));
    if (this.#isFromCopy) {
      this.#isFromCopy = false;
      this.#unconfirmedZones = new Set(missing);
      this.#unconfirmedUntil = this.#clock.monotonicMilliseconds() + REWRITE_GRACE_MILLISECONDS;
    }
    missing.filter((zone) => !this.#unconfirmedZones.has(zone))
      .forEach((zone) => this.#log.info('Zone is back in service.', { zone }));
  }

  handleChanges(rows: readonly TableRow[]): void {
    rows.forEach((row) => this.#apply(row, this.#closedZones));
  }

  /** Keeps the configuration in force, as an older one of the copy is not accepted. */
  handleStoreRestored(): void {
    this.#isFromCopy = true;
  }

  // eslint-disable-next-line class-methods-use-this -- operators' rows do not expire
  handleStoreRecovered(): void {
    // Operators' rows stay valid during an outage.
  }

  /** Marks a zone as confirmed by a row. */
  #confirm(zone: AvailabilityZoneId): void {
    this.#unconfirmedZones = new Set([...this.#unconfirmedZones].filter((other) => other !== zone));
  }

  #expireUnconfirmed(): void {
    if (this.#unconfirmedZones.size > 0 && this.#clock.monotonicMilliseconds() >= this.#unconfirmedUntil) {
      this.#log.info('Zones are back in service: their rows were not written again.', {
        zones: [...this.#unconfirmedZones].join(','),
      });
      this.#unconfirmedZones = new Set();
    }
  }

  /** Decodes a row. A failure on a row of another writer must not keep the other rows from being read. */
  #decode(row: TableRow): OperatorRow {
    try {
      return this.#rows.readOperatorRow(row);
    } catch (error) {
      return { kind: 'invalid', reason: String(error) };
    }
  }

  #apply(row: TableRow, closedBefore: ReadonlySet<AvailabilityZoneId>): void {
    const decoded = this.#decode(row);
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
        this.#confirm(decoded.zone);
        break;
      case 'zone-opened':
        this.#closedZones.delete(decoded.zone);
        this.#confirm(decoded.zone);
        this.#log.info('Zone is back in service.', { zone: decoded.zone, row: row.version });
        break;
      case 'other':
        break;
      case 'invalid':
        if (this.#reported.add(row)) {
          this.#log.error('Operator row is invalid, keeping the previous state.', {
            key: row.key, reason: decoded.reason, row: row.version,
          });
        }
        break;
      default:
        decoded satisfies never;
    }
  }
}
