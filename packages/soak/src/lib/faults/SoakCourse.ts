/**
 * Which faults a soak draws. `unplanned`: processes, links, workers and the store fail. `planned`:
 * stops of entries and new configurations, while the store fails and sound workers fall silent.
 */
type SoakCourse = 'unplanned' | 'planned' | 'all';

export default SoakCourse;
