import addReplica from './addReplica.js';
import compareText from './compareText.js';
import type PlanContext from './PlanContext.js';
import ServiceNeed from './ServiceNeed.js';

/** The service with the lowest covered share goes first, then the one that serves least. */
function compareNeeds(left: ServiceNeed, right: ServiceNeed): number {
  return left.coveredShare - right.coveredShare
    || left.servingShare - right.servingShare
    || compareText(left.view.service, right.view.service);
}

function requeue(queue: ServiceNeed[], need: ServiceNeed): void {
  const index = queue.findIndex((other) => compareNeeds(need, other) < 0);
  queue.splice(index < 0 ? queue.length : index, 0, need);
}

function satisfyOnce(need: ServiceNeed, needs: readonly ServiceNeed[], context: PlanContext): void {
  const outcome = addReplica(need, needs, context);
  switch (outcome) {
    case 'added':
      need.noteAdded();
      break;
    case 'no-room':
      need.noteNoRoom();
      break;
    case 'no-budget':
      need.noteNoBudget();
      context.budget.close();
      break;
    default:
      outcome satisfies never;
  }
}

/** Adds replicas, one at a time to the service that needs it most. Returns the needs as they were met. */
export default function planAdditions(context: PlanContext): readonly ServiceNeed[] {
  const needs = context.services
    .map((view) => ServiceNeed.from(view, context.fleet))
    .filter((need) => need !== null);
  const queue = [...needs].sort(compareNeeds);
  for (let need = queue.shift(); need !== undefined; need = queue.shift()) {
    satisfyOnce(need, needs, context);
    if (!need.isSettled) requeue(queue, need);
  }
  return needs;
}
