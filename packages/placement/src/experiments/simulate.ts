import type FakeFleet from '../test/FakeFleet.js';
import type Planner from './Planner.js';
import type { PlacementCommand } from '../index.js';

/** Advances the fleet step by step, planning and applying after each. `onStep` receives each plan. */
export default function simulate(
  fleet: FakeFleet,
  planner: Planner,
  seconds: number,
  stepSeconds = 1,
  onStep: (commands: readonly PlacementCommand[], stepSeconds: number) => void = () => {},
): void {
  for (let elapsed = 0; elapsed < seconds; elapsed += stepSeconds) {
    fleet.step(stepSeconds * 1_000);
    const commands = planner(fleet.observe());
    fleet.apply(commands);
    onStep(commands, stepSeconds);
  }
}
