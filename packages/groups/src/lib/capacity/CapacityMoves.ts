import type {
  Clock, FabricDomainId, GroupName, ServiceId,
} from '@dandelionlane/core';
import type { EngineProfile, ModelProfile } from '@dandelionlane/fleet';
import type { Log, Metrics } from '@dandelionlane/telemetry';
import type GroupStep from '../plan/GroupStep.js';
import type HeldDomain from '../plan/HeldDomain.js';
import type ModelDemand from '../plan/ModelDemand.js';
import type CapacityMove from './CapacityMove.js';
import type EarlierMove from './EarlierMove.js';
import MINIMUM_MEASURED_MILLISECONDS from './MINIMUM_MEASURED_MILLISECONDS.js';
import type ModelLoad from './ModelLoad.js';
import type MoveContext from './MoveContext.js';
import type MoveOutcome from './MoveOutcome.js';
import adjustShares from './adjustShares.js';
import chooseDonorGroups from './chooseDonorGroups.js';
import countKeptGroups from './countKeptGroups.js';
import countNeededGroups from './countNeededGroups.js';
import decideMove from './decideMove.js';
import mayReceive from './mayReceive.js';
import measureLoads from './measureLoads.js';
import planMove from './planMove.js';

/** Time after a move was given up until the next one, in ms: its cause has been repaired or shows again. */
const RETRY_MILLISECONDS = 3_000;

/** Age up to which the loads of the models are used, in ms: a large fleet has many groups to count. */
const LOADS_AGE_MILLISECONDS = 200;

/** Time for which ended moves are kept, in ms. */
const HISTORY_MILLISECONDS = 120_000;

/** Options of `CapacityMoves`. */
interface CapacityMovesOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Input of `plan`. */
type CapacityInput = Pick<
  MoveContext, 'records' | 'observation' | 'pool' | 'domainSizes' | 'closedZones' | 'canWrite'
> & {
  readonly service: ServiceId;
  readonly engine: EngineProfile;
  readonly demand: ModelDemand;
};

/** What moves change in the plan of one round. */
interface CapacityPlan {
  readonly steps: readonly GroupStep[];
  /** Models with the shares by which new groups are formed. */
  readonly models: readonly ModelProfile[];
  /** Groups that are being dissolved, which are neither repaired nor opened again. */
  readonly closingGroups: ReadonlySet<GroupName>;
  /** Domains whose free workers are for groups of the receiver. */
  readonly heldDomains: ReadonlyMap<FabricDomainId | null, HeldDomain>;
}

/** A move in progress with its monotonic times, in ms. */
interface RunningMove {
  readonly move: CapacityMove;
  readonly beganAt: number;
  readonly phaseBeganAt: number;
}

/** Moves of one service. */
interface ServiceMoves {
  running: RunningMove | null;
  /** Ended moves with the monotonic time of their end, in ms. */
  ended: readonly { readonly move: CapacityMove; readonly at: number }[];
  /** Monotonic time before which no move begins, in ms. */
  blockedUntil: number;
  /** Loads of the models with the monotonic time of their measurement, in ms; null to measure them anew. */
  loads: { readonly models: readonly ModelLoad[]; readonly at: number } | null;
}

/**
 * Moves groups between the models of each service, one move at a time. Keeps no more than the present term
 * needs: a new holder measures demand first and finds groups whose hosts already have the weights.
 */
export default class CapacityMoves {
  readonly #options: CapacityMovesOptions;

  readonly #services = new Map<ServiceId, ServiceMoves>();

  /** Monotonic time at which the term began, in ms. */
  #termBeganAt: number;

  constructor(options: CapacityMovesOptions) {
    this.#options = options;
    this.#termBeganAt = options.clock.monotonicMilliseconds();
  }

  /** Gives all moves up before a new term. */
  clear(): void {
    this.#services.clear();
    this.#termBeganAt = this.#now();
  }

  /** Plans the next steps of the moves of a service. Changes nothing while all priorities are equal. */
  plan(input: CapacityInput): CapacityPlan {
    const { service, engine: { models, slots }, demand } = input;
    const moves = this.#of(service);
    const priorities = new Set(models.map(({ name }) => demand.priorityOf(name))
      .filter((priority) => priority !== null));
    if (priorities.size < 2 && moves.running === null) {
      return {
        steps: [], models, closingGroups: new Set(), heldDomains: new Map(),
      };
    }
    const loads = this.#loadsOf(input, moves);
    const measuredMilliseconds = Math.min(demand.measuredMilliseconds, this.#now() - this.#termBeganAt);
    if (moves.running === null) {
      this.#begin(input, moves, loads, measuredMilliseconds);
    }
    const steps = moves.running === null ? [] : this.#proceed(input, moves, moves.running, loads);
    const move = moves.running?.move;
    const isDissolving = move !== undefined && move.phase !== 'staging';
    return {
      steps,
      models: measuredMilliseconds < MINIMUM_MEASURED_MILLISECONDS
        ? models : adjustShares(models, loads, slots),
      closingGroups: new Set(isDissolving ? move.records.map(({ name }) => name) : []),
      heldDomains: new Map(isDissolving ? [[move.domain, {
        model: move.receiver, requiresWeights: move.phase === 'closing',
      }]] : []),
    };
  }

  #loadsOf(input: CapacityInput, serviceMoves: ServiceMoves): readonly ModelLoad[] {
    const moves = serviceMoves;
    const now = this.#now();
    if (moves.loads === null || now - moves.loads.at >= LOADS_AGE_MILLISECONDS) {
      moves.loads = { models: measureLoads(input), at: now };
    }
    return moves.loads.models;
  }

  #begin(
    input: CapacityInput,
    serviceMoves: ServiceMoves,
    models: readonly ModelLoad[],
    measuredMilliseconds: number,
  ): void {
    const moves = serviceMoves;
    const now = this.#now();
    if (!input.canWrite || now < moves.blockedUntil) {
      return;
    }
    const decided = decideMove({
      models,
      slots: input.engine.slots,
      measuredMilliseconds,
      earlierMoves: moves.ended.map(({ move: { donor, receiver }, at }): EarlierMove => (
        { donor, receiver, ageMilliseconds: now - at })),
      chooseGroups: (donor, receiver, limit) => chooseDonorGroups({
        ...input, donor, receiver, limit,
      }),
    });
    if (decided === null) {
      return;
    }
    const { donor, receiver, choice } = decided;
    const move: CapacityMove = {
      ...choice,
      donor: donor.name,
      receiver: receiver.name,
      receiverSize: receiver.groupSize,
      phase: 'staging',
    };
    moves.running = { move, beganAt: now, phaseBeganAt: now };
    this.#options.log.info('Move of capacity began.', {
      ...CapacityMoves.#describe(input.service, move),
      donorGroups: donor.groups,
      donorRequests: Math.round(donor.highestRequests),
      receiverGroups: receiver.groups,
      receiverRequests: Math.round(receiver.standingRequests),
    });
  }

  #proceed(
    input: CapacityInput,
    serviceMoves: ServiceMoves,
    running: RunningMove,
    loads: readonly ModelLoad[],
  ): readonly GroupStep[] {
    const moves = serviceMoves;
    const now = this.#now();
    const { move, phaseBeganAt, beganAt } = running;
    const { engine: { slots } } = input;
    const donor = loads.find(({ name }) => name === move.donor);
    const receiver = loads.find(({ name }) => name === move.receiver);
    const progress = planMove({
      ...input,
      move,
      phaseMilliseconds: now - phaseBeganAt,
      hasRoom: donor !== undefined && receiver !== undefined && mayReceive(receiver, donor)
        && donor.openGroups - move.records.length >= countKeptGroups(donor, slots),
      isShort: receiver !== undefined
        && receiver.groups < countNeededGroups(receiver.standingRequests, slots),
    });
    if (progress.kind === 'ended') {
      this.#end(input.service, moves, running, progress.outcome);
      return [];
    }
    if (progress.phase !== move.phase) {
      moves.running = { move: { ...move, phase: progress.phase }, beganAt, phaseBeganAt: now };
      this.#options.log.info('Move of capacity goes on.', {
        ...CapacityMoves.#describe(input.service, move), phase: progress.phase,
      });
    }
    return progress.steps;
  }

  #end(
    service: ServiceId,
    serviceMoves: ServiceMoves,
    { move, beganAt }: RunningMove,
    outcome: MoveOutcome,
  ): void {
    const moves = serviceMoves;
    const now = this.#now();
    moves.running = null;
    moves.loads = null;
    if (outcome === 'done') {
      moves.ended = [...moves.ended.filter(({ at }) => now - at < HISTORY_MILLISECONDS), { move, at: now }];
    } else {
      moves.blockedUntil = now + RETRY_MILLISECONDS;
    }
    this.#options.log.info('Move of capacity ended.', {
      ...CapacityMoves.#describe(service, move), outcome, milliseconds: Math.round(now - beganAt),
    });
    this.#options.metrics.count('groups.moves', 1, [`outcome:${outcome}`]);
  }

  static #describe(service: ServiceId, {
    donor, receiver, domain, records,
  }: CapacityMove) {
    return {
      service, donor, receiver, domain, groups: records.map(({ name }) => name).join(','),
    };
  }

  #of(service: ServiceId): ServiceMoves {
    const moves = this.#services.get(service)
      ?? {
        running: null, ended: [], blockedUntil: Number.NEGATIVE_INFINITY, loads: null,
      };
    this.#services.set(service, moves);
    return moves;
  }

  #now(): number {
    return this.#options.clock.monotonicMilliseconds();
  }
}
