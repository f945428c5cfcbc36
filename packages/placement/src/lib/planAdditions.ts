import addReplica from './addReplica.js';
import compareText from './compareText.js';
import type PlanContext from './PlanContext.js';
import ServiceDeficit from './ServiceDeficit.js';

/** The service with the lowest covered share goes first, then the one that serves least. */
function compareNeeds(left: ServiceDeficit, right: ServiceDeficit): number {
  return left.coveredShare - right.coveredShare
    || left.servingShare - right.servingShare
    || compareText(left.view.service, right.view.service);
}

function requeue(queue: ServiceDeficit[], need: ServiceDeficit): void {
  const index = queue.findIndex((other) => compareNeeds(need, other) < 0);
  queue.splice(index < 0 ? queue.length : index, 0, need);
}

function satisfyOnce(need: ServiceDeficit, needs: readonly ServiceDeficit[], context: PlanContext): void {
  const outcome = addReplica(need, needs, context);
  switch (outcome) {
    case 'added':
      need.recordAdded();
      break;
    case 'no-room':
      need.recordNoCapacity();
      break;
    case 'no-budget':
      need.recordNoBudget();
      context.budget.close();
      break;
    default:
      outcome satisfies never;
  }
}

/** Adds replicas, one at a time to the service that needs it most. Returns the needs as they were met. */
export default function planAdditions(context: PlanContext): readonly ServiceDeficit[] {
  const needs = context.services
    .map((view) => ServiceDeficit.from(view, context.fleet))
    .filter((need) => need !== null);
  const queue = [...needs].sort(compareNeeds);
  for (let need = queue.shift(); need !== undefined; need = queue.shift()) {
    satisfyOnce(need, needs, context);
    if (!need.isFinished) requeue(queue, need);
  }
  return needs;
}
