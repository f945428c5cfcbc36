import type Sighting from './Sighting.js';

/**
 * Questions of one round, which comes 25 times a second. Asking all members of newly formed groups
 * as often as they may change held the holder up for a second with 875 workers.
 */
const QUESTIONS_PER_ROUND = 20;

/** Workers that are asked at the usual intervals; with more of them the intervals grow alike. */
const WORKERS_AT_USUAL_INTERVALS = 250;

/**
 * Workers to ask in this round. The number of questions a second is bounded whatever the size of
 * the fleet: registrations tell of changes too, and streams tell of groups that stand still. Urgent
 * ones come first, then those that have waited longest.
 */
export default function chooseQuestions(sightings: readonly Sighting[], now: number): readonly Sighting[] {
  const stretch = Math.max(1, sightings.length / WORKERS_AT_USUAL_INTERVALS);
  const due = sightings.flatMap((sighting) => {
    const overdue = sighting.overdueMilliseconds(now, stretch);
    return overdue === null ? [] : [{ sighting, overdue, isUrgent: sighting.isUrgent }];
  });
  const chosen = due.length <= QUESTIONS_PER_ROUND ? due : due
    .sort((left, right) => Number(right.isUrgent) - Number(left.isUrgent) || right.overdue - left.overdue)
    .slice(0, QUESTIONS_PER_ROUND);
  return chosen.map(({ sighting }) => sighting);
}
