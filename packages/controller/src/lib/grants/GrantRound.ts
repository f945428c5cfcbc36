import type { Dispatcher } from 'undici';
import type {
  Clock, EntryRecord, Replica, ReplicaId, ReleaseState, ServiceDefinition, ServicePlacement, VMId, VMReport,
} from '@dandelionlane/core';
import { chooseHomes } from '@dandelionlane/membership';
import type { ReceivedReport } from '@dandelionlane/routing';
import type RegionRowStore from '../region/RegionRowStore.js';
import askEntry from './askEntry.js';
import GrantKeeper from './GrantKeeper.js';
import readAcknowledgements from './readAcknowledgements.js';

const HOME_COUNT = 3;

/** What a `GrantRound` needs from outside. */
interface GrantRoundOptions {
  readonly rows: RegionRowStore;
  readonly dispatcher: Dispatcher;
  readonly clock: Clock;
}

/** What one round of grants reads. */
interface GrantInput {
  readonly release: ReleaseState;
  readonly entries: readonly EntryRecord[];
  readonly reports: ReadonlyMap<VMId, VMReport>;
}

/** Keeps the grants of a region's replicas in step with the live entries, during one term of the lease. */
export default class GrantRound {
  readonly #options: GrantRoundOptions;

  readonly #keeper: GrantKeeper;

  constructor(options: GrantRoundOptions) {
    this.#options = options;
    this.#keeper = new GrantKeeper(options.clock);
  }

  async run(input: GrantInput): Promise<void> {
    this.#keeper.hearEntries(input.entries);
    await this.#hearAcknowledgements();
    this.#keeper.forgetAllBut(new Set(this.#options.rows.replicas().map(({ replica }) => replica)));
    for (const { definition } of input.release.services) {
      await this.#grantService(input, definition);
    }
  }

  /** Asks the entries whose shares were taken back, so that these can be given to others. */
  async #hearAcknowledgements(): Promise<void> {
    const { dispatcher, rows } = this.#options;
    const answers = await Promise.all(this.#keeper.awaited().map((entry) => askEntry(dispatcher, entry)));
    answers.forEach((answer) => {
      switch (answer.kind) {
        case 'document':
          readAcknowledgements(answer.entry.entry, answer.document, [...rows.rows.placements.values()])
            .forEach((acknowledgement) => this.#keeper.acknowledge(acknowledgement));
          return;
        case 'gone':
          this.#keeper.gone(answer.entry.entry);
          return;
        case 'silent':
          return;
        default:
          answer satisfies never;
      }
    });
  }

  async #grantService(input: GrantInput, definition: ServiceDefinition): Promise<void> {
    const { rows } = this.#options;
    const placement = rows.rows.placements.get(definition.service)?.placement;
    const planned = placement === undefined ? new Map() : this.#plan(input, definition, placement);
    if (placement === undefined || planned.size === 0) {
      return;
    }
    const committed = await rows.commit({
      placement: {
        service: definition.service,
        replicas: placement.replicas.map((replica) => planned.get(replica.replica) ?? replica),
      },
      allocate: [],
      free: [],
    });
    if (committed) {
      this.#noteCommitted(placement, planned);
    }
  }

  /** The replicas whose grants change. */
  #plan(
    { release, entries, reports }: GrantInput,
    definition: ServiceDefinition,
    placement: ServicePlacement,
  ): ReadonlyMap<ReplicaId, Replica> {
    const out = release.availabilityZonesOut;
    const inService = entries.filter(({ availabilityZone }) => !out.includes(availabilityZone));
    // An entry without a share of the cold limit could send nothing: it gets no warm share either.
    const holders = Math.min(HOME_COUNT, definition.limits.coldConcurrency);
    const homes = chooseHomes(definition.service, inService, holders);
    const planned = new Map<ReplicaId, Replica>();
    placement.replicas
      .filter(({ state }) => homes.length > 0 && (state === 'loading' || state === 'serving'))
      .forEach((replica) => {
        const grants = this.#keeper.plan({
          replica, limits: definition.limits, homes, target: this.#sightingOf(replica, reports),
        });
        if (grants !== null) {
          planned.set(replica.replica, { ...replica, grants: [...grants] });
        }
      });
    return planned;
  }

  #noteCommitted(placement: ServicePlacement, planned: ReadonlyMap<ReplicaId, Replica>): void {
    placement.replicas.forEach((replica) => {
      const next = planned.get(replica.replica);
      if (next !== undefined) {
        this.#keeper.committed(replica.replica, replica.grants, next.grants);
      }
    });
  }

  #sightingOf(replica: Replica, reports: ReadonlyMap<VMId, VMReport>): ReceivedReport | undefined {
    const first = replica.members[0];
    const report = first === undefined ? undefined : reports.get(first.vm);
    return report === undefined
      ? undefined
      : { report, receivedAtMilliseconds: this.#options.clock.monotonicMilliseconds() };
  }
}
