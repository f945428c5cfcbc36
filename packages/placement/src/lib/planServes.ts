import type PlanContext from './PlanContext.js';

/** Changes loading replicas to serving once every member reports that it is ready. */
export default function planServes({ services, draft }: PlanContext): void {
  for (const service of services) {
    for (const { replica, isReady } of service.loading) {
      if (isReady) draft.add({ kind: 'serve', replica: replica.replica, reason: 'members-ready' });
    }
  }
}
