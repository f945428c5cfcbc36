import addReplica from './addReplica.js';
import compareText from './compareText.js';
import type PlanContext from './PlanContext.js';
import ServiceDeficit from './ServiceDeficit.js';

/** Orders by lowest covered share, then by lowest serving share. */
function compareDeficits(left: ServiceDeficit, right: ServiceDeficit): number {
  return left.coveredShare - right.coveredShare
    || left.servingShare - right.servingShare
    || compareText(left.view.service, right.view.service);
}

function requeue(queue: ServiceDeficit[], deficit: ServiceDeficit): void {
  const index = queue.findIndex((other) => compareDeficits(deficit, other) < 0);
  queue.splice(index < 0 ? queue.length : index, 0, deficit);
}

function addOnce(deficit: ServiceDeficit, deficits: readonly ServiceDeficit[], context: PlanContext): void {
  const outcome = addReplica(deficit, deficits, context);
  switch (outcome) {
    case 'added':
      deficit.recordAdded();
      break;
    case 'no-capacity':
      deficit.recordNoCapacity();
      break;
    case 'no-budget':
      deficit.recordNoBudget();
      context.budget.close();
      break;
    default:
      outcome satisfies never;
  }
}

/** Adds replicas one at a time, always to the service with the lowest covered share. Returns the deficits. */
export default function planAdditions(context: PlanContext): readonly ServiceDeficit[] {
  const deficits = context.services
    .map((view) => ServiceDeficit.from(view, context.fleet))
    .filter((deficit) => deficit !== null);
  const queue = [...deficits].sort(compareDeficits);
  for (let deficit = queue.shift(); deficit !== undefined; deficit = queue.shift()) {
    addOnce(deficit, deficits, context);
    if (!deficit.isFinished) requeue(queue, deficit);
  }
  return deficits;
}
