import type SystemOptions from './SystemOptions.js';

type Definition = SystemOptions['services'][number]['definition'];
type Limits = NonNullable<Definition['limits']>;

/** Definitions of the two services of the tests. */
const services = {
  letters: (limits: Limits = {}): Definition => ({
    kind: 'model',
    service: 'letters',
    team: 'desk',
    replicas: 1,
    version: '1',
    model: 'letters',
    vmsPerReplica: 2,
    acceleratorsPerVM: 8,
    limits,
  }),
  slots: (limits: Limits = {}): Definition => ({
    kind: 'plain',
    service: 'slots',
    team: 'desk',
    replicas: 1,
    version: '1',
    nonRepeatableCalls: [{ method: 'POST', pathPrefix: '/slots' }],
    limits,
  }),
};

export default services;
