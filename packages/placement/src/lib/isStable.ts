import type ServiceView from './ServiceView.js';

/** Whether each wanted replica has served for long, and nothing else of the service is under way. */
export default function isStable(view: ServiceView, settledMilliseconds: number): boolean {
  const others = [view.loading, view.outdated, view.broken, view.unwanted, view.draining];
  return view.serving.length === view.wanted
    && others.every(({ length }) => length === 0)
    && view.serving.every(({ stateMilliseconds }) => stateMilliseconds >= settledMilliseconds);
}
