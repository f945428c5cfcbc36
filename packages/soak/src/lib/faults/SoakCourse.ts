/**
 * Which faults a soak draws. `unplanned`: processes, links, workers and the store fail. `planned`:
 * stops of entries and new configurations, while the store fails and sound workers fall silent.
 * `stops` and `silences`: the same without silences, or without stops. `all`: `unplanned` and `planned`.
 * `paths`: entries lose their paths to all workers, in series, while the store fails at times. `crashes`: one
 * request ends each worker that runs it, while entries end and lose the store. `endings`: processes end under
 * answers without a length, the holder of the lease changes, and workers fail or write without an end.
 * `vanishings`: workers end under answers without a length, and their addresses do not refuse connections, in
 * series and beside entries that stand still, end or lose their paths.
 */
type SoakCourse = 'all' | 'unplanned' | 'planned' | 'stops' | 'silences' | 'paths' | 'crashes' | 'endings'
  | 'vanishings';

export default SoakCourse;
