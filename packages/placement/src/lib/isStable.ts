import type ServiceView from './ServiceView.js';

/** Whether all wanted replicas have served for the given time and no other replica is in transition. */
export default function isStable(view: ServiceView, settledMilliseconds: number): boolean {
  const others = [view.loading, view.outdated, view.broken, view.unwanted, view.draining];
  return view.serving.length === view.wanted
    && others.every(({ length }) => length === 0)
    && view.serving.every(({ stateMilliseconds }) => stateMilliseconds >= settledMilliseconds);
}
