import type { Dispatcher } from 'undici';
import type {
  Clock, EntryRecord, Replica, ReplicaId, ReleaseState, ServiceDefinition, ServicePlacement, VMId, VMReport,
} from '@dandelionlane/core';
import { chooseHomes } from '@dandelionlane/membership';
import type { ReceivedReport } from '@dandelionlane/routing';
import type RegionRowStore from '../region/RegionRowStore.js';
import pollEntry from './pollEntry.js';
import GrantPlanner from './GrantPlanner.js';
import readAcknowledgements from './readAcknowledgements.js';

const HOME_COUNT = 3;

/** Dependencies of a `GrantReconciler`. */
interface GrantReconcilerOptions {
  readonly rows: RegionRowStore;
  readonly dispatcher: Dispatcher;
  readonly clock: Clock;
}

/** Input of one reconciliation. */
interface ReconcileInput {
  readonly release: ReleaseState;
  readonly entries: readonly EntryRecord[];
  readonly reports: ReadonlyMap<VMId, VMReport>;
}

/** Reconciles the grants of a region's replicas with the live entries during one lease term. */
export default class GrantReconciler {
  readonly #options: GrantReconcilerOptions;

  readonly #planner: GrantPlanner;

  constructor(options: GrantReconcilerOptions) {
    this.#options = options;
    this.#planner = new GrantPlanner(options.clock);
  }

  async reconcile(input: ReconcileInput): Promise<void> {
    this.#planner.updateEntries(input.entries);
    await this.#collectAcknowledgements();
    this.#planner.retainOnly(new Set(this.#options.rows.replicas().map(({ replica }) => replica)));
    for (const { definition } of input.release.services) {
      await this.#grantService(input, definition);
    }
  }

  /** Polls the entries whose shares were withdrawn, so that these can be granted to others. */
  async #collectAcknowledgements(): Promise<void> {
    const { dispatcher, rows } = this.#options;
    const answers = await Promise.all(
      this.#planner.unacknowledgedEntries().map((entry) => pollEntry(dispatcher, entry)),
    );
    answers.forEach((answer) => {
      switch (answer.kind) {
        case 'document':
          readAcknowledgements(answer.entry.entry, answer.document, [...rows.rows.placements.values()])
            .forEach((acknowledgement) => this.#planner.recordAcknowledgement(acknowledgement));
          return;
        case 'gone':
          this.#planner.recordEntryGone(answer.entry.entry);
          return;
        case 'silent':
          return;
        default:
          answer satisfies never;
      }
    });
  }

  async #grantService(input: ReconcileInput, definition: ServiceDefinition): Promise<void> {
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
      this.#recordCommitted(placement, planned);
    }
  }

  /** Replicas whose grants change, with the new grants. */
  #plan(
    { release, entries, reports }: ReconcileInput,
    definition: ServiceDefinition,
    placement: ServicePlacement,
  ): ReadonlyMap<ReplicaId, Replica> {
    const out = release.availabilityZonesOut;
    const inService = entries.filter(({ availabilityZone }) => !out.includes(availabilityZone));
    // An entry without a cold share could send nothing to a cold replica, so it gets no warm share either.
    const holders = Math.min(HOME_COUNT, definition.limits.coldConcurrency);
    const homes = chooseHomes(definition.service, inService, holders);
    const planned = new Map<ReplicaId, Replica>();
    placement.replicas
      .filter(({ state }) => homes.length > 0 && (state === 'loading' || state === 'serving'))
      .forEach((replica) => {
        const grants = this.#planner.plan({
          replica, limits: definition.limits, homes, target: this.#observeTarget(replica, reports),
        });
        if (grants !== null) {
          planned.set(replica.replica, { ...replica, grants: [...grants] });
        }
      });
    return planned;
  }

  #recordCommitted(placement: ServicePlacement, planned: ReadonlyMap<ReplicaId, Replica>): void {
    placement.replicas.forEach((replica) => {
      const next = planned.get(replica.replica);
      if (next !== undefined) {
        this.#planner.recordCommitted(replica.replica, replica.grants, next.grants);
      }
    });
  }

  #observeTarget(replica: Replica, reports: ReadonlyMap<VMId, VMReport>): ReceivedReport | undefined {
    const first = replica.members[0];
    const report = first === undefined ? undefined : reports.get(first.vm);
    return report === undefined
      ? undefined
      : { report, receivedAtMilliseconds: this.#options.clock.monotonicMilliseconds() };
  }
}
