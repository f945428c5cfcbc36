import type FleetSnapshot from './FleetSnapshot.js';
import type FreePool from './FreePool.js';
import type LoadBudget from './LoadBudget.js';
import type PlanDraft from './PlanDraft.js';
import type ServiceView from './ServiceView.js';

/** What the stages of one plan share. The pool, the budget and the draft change as stages run. */
export default interface PlanContext {
  readonly fleet: FleetSnapshot;
  readonly services: readonly ServiceView[];
  readonly pool: FreePool;
  readonly budget: LoadBudget;
  readonly draft: PlanDraft;
  /** Numbers of VMs that the replicas of wanted services span, each once. */
  readonly groupSizes: readonly number[];
}
