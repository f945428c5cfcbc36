/** One row of an experiment's result. */
type ExperimentRow = Readonly<Record<string, string | number>>;

export default ExperimentRow;
