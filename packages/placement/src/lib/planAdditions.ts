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

function findNeediest(needs: readonly ServiceNeed[]): ServiceNeed | null {
  let neediest: ServiceNeed | null = null;
  for (const need of needs) {
    const isNeedier = !need.isSettled && (neediest === null || compareNeeds(need, neediest) < 0);
    if (isNeedier) neediest = need;
  }
  return neediest;
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
  for (let need = findNeediest(needs); need !== null; need = findNeediest(needs)) {
    satisfyOnce(need, needs, context);
  }
  return needs;
}
