import type FleetSnapshot from './FleetSnapshot.js';
import type FreePool from './FreePool.js';
import type LoadBudget from './LoadBudget.js';
import type PlanDraft from './PlanDraft.js';
import type ServiceView from './ServiceView.js';

/** State that the stages of one plan share. The stages modify the pool, the budget and the draft. */
export default interface PlanContext {
  readonly fleet: FleetSnapshot;
  readonly services: readonly ServiceView[];
  readonly pool: FreePool;
  readonly budget: LoadBudget;
  readonly draft: PlanDraft;
  /** Distinct numbers of VMs per replica over all services. */
  readonly groupSizes: readonly number[];
}
