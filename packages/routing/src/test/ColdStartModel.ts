import {
  EntryId, RowVersion, type Grant, type Replica, type VMPhase, type VMReport,
} from '@dandelionlane/core';
import {
  assessReplica, ConcurrencyLimiter, GRANT_MARGIN_MILLISECONDS, listWithdrawnGrants, mergeReport,
  planGrants, REPORT_SETTLE_MILLISECONDS, pruneWithdrawnGrants, assumeWithdrawnGrant,
  type DispatchTicket, type GrantPlanInput, type ReceivedReport, type WithdrawnGrant,
} from '../index.js';
import makeReplica from './makeReplica.js';
import makeReport from './makeReport.js';
import type ModelEvent from './ModelEvent.js';
import type ModelTotals from './ModelTotals.js';

const VMS = ['vm-1', 'vm-2'];
const FRESHNESS_MILLISECONDS = 3_000;
const DISPATCH_DELAY_MILLISECONDS = 1_000;
const REPORT_LAG_MILLISECONDS = REPORT_SETTLE_MILLISECONDS - DISPATCH_DELAY_MILLISECONDS;

interface SentRequest {
  readonly entry: ModelEntry;
  readonly ticket: DispatchTicket;
  readonly sentAt: number;
  /** Whether the entry assessed the replica as cold at the dispatch. */
  readonly sentCold: boolean;
}

interface ModelEntry {
  readonly id: EntryId;
  readonly formerRequestsEnd: number;
  limiter: ConcurrencyLimiter | undefined;
  version: RowVersion;
  latestReports: Map<string, ReceivedReport>;
  /** Every report that ever arrived, for the naive assessment. */
  readonly allReports: ReceivedReport[];
  isPartitioned: boolean;
}

interface ModelVM {
  readonly vm: string;
  readonly incarnation: number;
  readonly sequence: number;
  readonly phase: VMPhase;
  /** Time since which it is not warm; meaningless while it is warm. */
  readonly notWarmSince: number;
}

interface Row { readonly version: RowVersion; readonly grants: readonly Grant[] }

/**
 * Model of one replica, several entries with independent views and a planner. Checks the
 * limits after each event.
 */
export default class ColdStartModel {
  readonly violations: string[] = [];

  /** Counts of dispatches and plans, to show that a run covers them. */
  readonly totals: ModelTotals = { dispatches: 0, coldDispatches: 0, plans: 0 };

  #now = 0;

  #replica: Replica = makeReplica(VMS);

  #vms: readonly ModelVM[] = VMS.map((vm) => ({
    vm, incarnation: 1, sequence: 0, phase: 'cold', notWarmSince: 0,
  }));

  #entries: ModelEntry[];

  #reports: { readonly report: VMReport; readonly madeAt: number }[] = [];

  #reads: { readonly entry: ModelEntry; readonly row: Row; readonly startedAt: number }[] = [];

  #row: Row = { version: RowVersion.parse(0), grants: [] };

  #withdrawn: readonly WithdrawnGrant[] = [];

  #homes: readonly EntryId[];

  #target: ReceivedReport | undefined;

  #inFlight: SentRequest[] = [];

  #crashed = new Set<EntryId>();

  readonly #handlers: { [Kind in ModelEvent['kind']]: (event: Extract<ModelEvent, { kind: Kind }>) => void } = {
    advance: ({ milliseconds }) => this.#advance(milliseconds),
    phase: ({ vm, phase, restarts }) => this.#changePhase(vm, phase, restarts),
    warmUp: () => VMS.forEach((_, vm) => this.#changePhase(vm, 'warm', false)),
    report: () => this.#makeReports(),
    deliver: ({ pick, to, repeats }) => this.#deliver(pick, to, repeats),
    catchUp: ({ entry }) => this.#catchUp(entry),
    startRead: ({ entry }) => this.#startRead(this.#entry(entry)),
    endRead: ({ pick }) => this.#endRead(pick),
    cut: ({ entry, isPartitioned }) => {
      this.#entry(entry).isPartitioned = isPartitioned;
    },
    acknowledge: ({ entry }) => this.#acknowledge(this.#entry(entry)),
    crash: ({ entry }) => this.#crash(this.#entry(entry)),
    restart: ({ entry }) => this.#restart(this.#entry(entry)),
    homes: ({ homes }) => {
      this.#homes = [...new Set(homes)].map((index) => this.#entry(index).id);
    },
    plan: () => this.#plan(),
    takeover: () => {
      this.#withdrawn = [assumeWithdrawnGrant(this.limits, this.#row.grants, this.#now)];
    },
    dispatch: ({ entry, burst }) => this.#dispatch(this.#entry(entry), burst),
    finish: ({ pick, result }) => this.#finish(this.#inFlight[pick % this.#inFlight.length], result),
  };

  constructor(
    readonly limits: GrantPlanInput['limits'],
    entries: number,
  ) {
    this.#entries = Array.from({ length: entries }, (_, index) => ColdStartModel.#makeEntry(index));
    this.#homes = this.#entries.map(({ id }) => id);
  }

  static #makeEntry(index: number): ModelEntry {
    return {
      id: EntryId.parse(`entry-${index}`),
      formerRequestsEnd: -Infinity,
      limiter: undefined,
      version: RowVersion.parse(0),
      latestReports: new Map(),
      allReports: [],
      isPartitioned: false,
    };
  }

  apply(event: ModelEvent): void {
    const handle = this.#handlers[event.kind] as (event: ModelEvent) => void;
    handle(event);
    this.#check();
  }

  #entry(index: number): ModelEntry {
    const entry = this.#entries[index % this.#entries.length];
    if (entry === undefined) {
      throw new RangeError('the model has no entries');
    }
    return entry;
  }

  /** Advances the clock. Requests end at their timeout; reports and reads past their bounds are lost. */
  #advance(milliseconds: number): void {
    this.#now += milliseconds;
    this.#inFlight
      .filter(({ sentAt }) => this.#now - sentAt >= this.limits.requestTimeoutMilliseconds)
      .forEach((sent) => this.#finish(sent, 'failure'));
    this.#reports = this.#reports.filter(({ madeAt }) => this.#now - madeAt <= REPORT_LAG_MILLISECONDS);
    this.#reads = this.#reads.filter(({ startedAt }) => this.#now - startedAt <= GRANT_MARGIN_MILLISECONDS);
  }

  #changePhase(index: number, phase: VMPhase, restarts: boolean): void {
    const position = index % this.#vms.length;
    this.#vms = this.#vms.map((vm, other) => (other === position ? {
      ...vm,
      phase: restarts ? 'cold' : phase,
      incarnation: vm.incarnation + (restarts ? 1 : 0),
      sequence: restarts ? 0 : vm.sequence,
      notWarmSince: vm.phase === 'warm' ? this.#now : vm.notWarmSince,
    } : vm));
  }

  #makeReports(): void {
    const arrived = this.#inFlight.filter(({ sentAt }) => sentAt + DISPATCH_DELAY_MILLISECONDS <= this.#now);
    this.#vms = this.#vms.map((vm) => ({ ...vm, sequence: vm.sequence + 1 }));
    this.#vms.forEach(({ notWarmSince, ...fields }) => {
      const report = makeReport({ ...fields, runningRequests: arrived.length });
      this.#reports.push({ report, madeAt: this.#now });
    });
  }

  /** Delivers any pending report, possibly late or repeatedly, to an entry or to the planner. */
  #deliver(pick: number, to: number, repeats: boolean): void {
    const index = pick % Math.max(1, this.#reports.length);
    const report = this.#reports[index]?.report;
    if (report === undefined) {
      return;
    }
    if (!repeats) {
      this.#reports.splice(index, 1);
    }
    if (to % (this.#entries.length + 1) === this.#entries.length) {
      if (report.vm === VMS[0]) {
        this.#target = mergeReport(this.#target, report, this.#now);
      }
      return;
    }
    const entry = this.#entry(to);
    entry.allReports.push({ report, receivedAtMilliseconds: this.#now });
    entry.latestReports.set(report.vm, mergeReport(entry.latestReports.get(report.vm), report, this.#now));
    entry.limiter?.updateAssessment(this.#assess(entry));
  }

  /** The common case: fresh reports of all VMs arrive and the row is read. The last index is the planner. */
  #catchUp(index: number): void {
    this.#makeReports();
    this.#vms.forEach(() => this.#deliver(this.#reports.length - 1, index, false));
    this.#startRead(this.#entry(index));
    this.#endRead(Math.max(0, this.#reads.length - 1));
  }

  #assess(entry: ModelEntry): ReturnType<typeof assessReplica> {
    return assessReplica(this.#replica, [...entry.latestReports.values()], this.#now, FRESHNESS_MILLISECONDS);
  }

  #startRead(entry: ModelEntry): void {
    if (!entry.isPartitioned) {
      this.#reads.push({ entry, row: this.#row, startedAt: this.#now });
    }
  }

  #endRead(pick: number): void {
    const [read] = this.#reads.splice(pick % Math.max(1, this.#reads.length), 1);
    if (read === undefined || this.#crashed.has(read.entry.id)) {
      return;
    }
    const { entry, row } = read;
    const grant = row.grants.find((candidate) => candidate.entry === entry.id)
      ?? { entry: entry.id, cold: 0, warm: 0 };
    const snapshot = { grant, version: row.version, readAtMilliseconds: read.startedAt };
    if (entry.limiter === undefined) {
      entry.limiter = new ConcurrencyLimiter(snapshot, entry.formerRequestsEnd);
    } else {
      entry.limiter.updateGrant(snapshot);
    }
    if (row.version >= entry.version) {
      entry.version = row.version;
    }
  }

  /** The entry acknowledges the row to the planner if it has read the newest version. */
  #acknowledge(entry: ModelEntry): void {
    if (entry.isPartitioned || this.#crashed.has(entry.id) || entry.version !== this.#row.version) {
      return;
    }
    const excess = entry.limiter?.excess(this.#now) ?? null;
    if (excess === null) {
      return;
    }
    this.#setHolder(entry.id, { kind: 'acknowledged', sinceMilliseconds: this.#now, excess });
  }

  /** A crashed entry never restarts under its id; its requests in flight continue for a while. */
  #crash(entry: ModelEntry): void {
    if (this.#crashed.has(entry.id) || this.#crashed.size + 1 >= this.#entries.length) {
      return;
    }
    this.#crashed.add(entry.id);
    this.#setHolder(entry.id, { kind: 'gone', sinceMilliseconds: this.#now });
  }

  /** A process that restarts under its id loses its state; its former requests continue. */
  #restart(entry: ModelEntry): void {
    const index = this.#entries.indexOf(entry);
    const formerRequestsEnd = this.#now + this.limits.requestTimeoutMilliseconds;
    this.#entries[index] = { ...ColdStartModel.#makeEntry(index), formerRequestsEnd };
    this.#reads = this.#reads.filter((read) => read.entry !== entry);
  }

  #setHolder(entry: EntryId, holder: WithdrawnGrant['holder']): void {
    this.#withdrawn = this.#withdrawn.map((withdrawn) => (
      withdrawn.entry === entry && withdrawn.holder.kind === 'unknown' ? { ...withdrawn, holder } : withdrawn
    ));
  }

  #plan(): void {
    const input: GrantPlanInput = {
      replica: this.#replica.replica,
      limits: this.limits,
      homes: this.#homes.filter((home) => !this.#crashed.has(home)),
      previous: this.#row.grants,
      withdrawn: this.#withdrawn,
      target: this.#target,
      monotonicMilliseconds: this.#now,
    };
    const grants = planGrants(input);
    this.#withdrawn = [
      ...pruneWithdrawnGrants(input),
      ...listWithdrawnGrants(this.#row.grants, grants, this.#now),
    ];
    this.#row = { version: RowVersion.parse(this.#row.version + 1), grants };
    this.#crashed.forEach((entry) => {
      this.#setHolder(entry, { kind: 'gone', sinceMilliseconds: this.#now });
    });
    this.totals.plans += 1;
  }

  #dispatch(entry: ModelEntry, burst: number): void {
    const { limiter } = entry;
    const assessment = this.#assess(entry);
    if (limiter === undefined || this.#crashed.has(entry.id) || assessment.kind !== 'whole') {
      return;
    }
    limiter.updateAssessment(assessment);
    const count = Math.min(burst, limiter.available(this.#now));
    for (let sent = 0; sent < count; sent += 1) {
      const sentCold = assessment.phase === 'cold';
      this.#inFlight.push({
        entry, ticket: limiter.recordDispatch(), sentAt: this.#now, sentCold,
      });
      this.totals.dispatches += 1;
      this.totals.coldDispatches += sentCold ? 1 : 0;
      this.#checkDispatch(entry, assessment.phase);
    }
  }

  #finish(sent: SentRequest | undefined, result: 'success' | 'failure' | 'lost'): void {
    if (sent === undefined) {
      return;
    }
    this.#inFlight.splice(this.#inFlight.indexOf(sent), 1);
    sent.entry.limiter?.recordCompletion(sent.ticket, result, this.#now);
  }

  /** Assessment computed from scratch from the newest of all received reports of each VM. */
  #assessNaively({ allReports }: ModelEntry): 'cold' | 'warm' | 'not-whole' {
    const newest = VMS.map((vm) => {
      const ofVM = allReports.filter(({ report }) => report.vm === vm);
      return [...ofVM].sort((left, right) => right.report.incarnation - left.report.incarnation
        || right.report.sequence - left.report.sequence
        || left.receivedAtMilliseconds - right.receivedAtMilliseconds)[0];
    });
    if (newest.some((received) => received === undefined
      || this.#now - received.receivedAtMilliseconds >= FRESHNESS_MILLISECONDS)) {
      return 'not-whole';
    }
    return newest.every((received) => received?.report.phase === 'warm') ? 'warm' : 'cold';
  }

  /**
   * Checks that a request is sent only as the received reports allow, and not as to a warm
   * replica long after a VM stopped being warm.
   */
  #checkDispatch(entry: ModelEntry, sentAs: 'cold' | 'warm'): void {
    const naive = this.#assessNaively(entry);
    if (naive !== sentAs) {
      this.violations.push(`${this.#now}: sent as ${sentAs}, but reports imply ${naive}`);
    }
    const coldVM = this.#vms.find(({ phase, notWarmSince }) => phase !== 'warm'
      && this.#now > notWarmSince + REPORT_LAG_MILLISECONDS + FRESHNESS_MILLISECONDS);
    if (sentAs === 'warm' && coldVM !== undefined) {
      this.violations.push(`${this.#now}: sent as warm, but ${coldVM.vm} is not warm since ${coldVM.notWarmSince}`);
    }
  }

  #check(): void {
    const cold = this.#inFlight.filter(({ sentCold }) => sentCold).length;
    if (cold > this.limits.coldConcurrency) {
      this.violations.push(`${this.#now}: ${cold} requests in flight that were sent cold, limit ${this.limits.coldConcurrency}`);
    }
    // The warm limit does not cover requests of the former process of a restarted entry.
    const known = this.#inFlight.filter(({ entry }) => this.#entries.includes(entry)).length;
    if (known > this.limits.warmConcurrency) {
      const { warmConcurrency } = this.limits;
      this.violations.push(`${this.#now}: ${known} requests in flight, limit ${warmConcurrency}`);
    }
  }
}
