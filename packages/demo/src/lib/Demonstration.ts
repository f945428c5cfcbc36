import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { request } from 'undici';
import { EntriesDocument, StatusDocument } from '@dandelionlane/core';
import { expectedAnswer, JournalDocument, promptOf } from '@dandelionlane/standin';
import type CallAnswer from './CallAnswer.js';
import callSystem from './callSystem.js';
import callTwiceIfRefused from './callTwiceIfRefused.js';
import type DemoStep from './DemoStep.js';
import LoadLoop from './LoadLoop.js';
import readStreamText from './readStreamText.js';
import runCommand from './runCommand.js';
import type RunningSystem from './RunningSystem.js';
import waitUntil from './waitUntil.js';

const MODEL_SERVICE = 'inscription-assistant';
const PLAIN_SERVICE = 'laser-slots';
const SERVING_TIMEOUT_MILLISECONDS = 60_000;
const NOTICE_MILLISECONDS = 3_000;
const OBSERVED_MILLISECONDS = 4_000;
const ANSWER_TOKENS = 12;

const RELEASE_NOTE = {
  summary: 'First services of the demonstration',
  add: [
    {
      kind: 'model',
      service: MODEL_SERVICE,
      team: 'engraving',
      replicas: 2,
      vmsPerReplica: 4,
      acceleratorsPerVM: 8,
      model: 'letters',
      version: '1',
      targetsCheckFencing: true,
      limits: { coldConcurrency: 3, warmConcurrency: 32, requestTimeoutMilliseconds: 20_000 },
    },
    {
      kind: 'plain',
      service: PLAIN_SERVICE,
      team: 'engraving',
      replicas: 2,
      version: '1',
      nonRepeatableCalls: [{ method: 'POST', pathPrefix: '/slots' }],
    },
  ],
};

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

function listSlots(address: string): Promise<CallAnswer> {
  return callSystem(address, 'GET', `/v1/services/${PLAIN_SERVICE}/slots`);
}

function chat(address: string, prompt: string): Promise<CallAnswer> {
  return callSystem(address, 'POST', '/v1/chat/completions', {
    model: MODEL_SERVICE, messages: [{ role: 'user', content: prompt }], max_tokens: ANSWER_TOKENS,
  });
}

/** The steps of the demonstration, from a release note to a zone that returns. */
export default class Demonstration {
  readonly #system: RunningSystem;

  readonly #directory: string;

  readonly #steps: DemoStep[] = [];

  constructor(system: RunningSystem, directory: string) {
    this.#system = system;
    this.#directory = directory;
  }

  /** Runs every step; a step that fails does not keep the later ones from running. */
  async run(report: (step: DemoStep) => void): Promise<readonly DemoStep[]> {
    const steps: readonly (readonly [string, () => Promise<DemoStep>])[] = [
      ['publish a release note', () => this.#publish()],
      ['replicas are placed and whole', () => this.#waitForReplicas()],
      ['which entry to use', () => this.#askEntries()],
      ['stream a chat completion', () => this.#stream()],
      ['book twice with one key', () => this.#book()],
      ['take a zone out under load', () => this.#takeOut()],
      ['bring the zone back under load', () => this.#bringBack()],
    ];
    for (const [name, run] of steps) {
      const step = await run().catch((error: unknown) => ({ name, passed: false, detail: String(error) }));
      this.#steps.push({ ...step, name });
      report({ ...step, name });
    }
    return this.#steps;
  }

  async #publish(): Promise<DemoStep> {
    const file = join(this.#directory, 'note.jsonc');
    await writeFile(file, JSON.stringify(RELEASE_NOTE, null, 2));
    const result = await runCommand(this.#system, ['publish', file, '--wait']);
    return { name: '', passed: result.code === 0, detail: result.output.trim().split('\n').at(-1) ?? '' };
  }

  async #waitForReplicas(): Promise<DemoStep> {
    const passed = await waitUntil(() => this.#allServing(), SERVING_TIMEOUT_MILLISECONDS)
      && await waitUntil(async () => {
        const answers = await Promise.all(this.#callerAddresses()
          .flatMap((address) => [chat(address, 'ready?'), listSlots(address)]));
        return answers.every(({ status }) => status === 200);
      }, SERVING_TIMEOUT_MILLISECONDS);
    const status = await this.#status();
    const serving = status.services.map((each) => `${each.service} ${each.replicasServing}/${each.replicasWanted}`);
    return { name: '', passed, detail: serving.join(', ') };
  }

  async #askEntries(): Promise<DemoStep> {
    const answer = await callSystem(this.#anyCallerAddress(), 'GET', `/v1/entries?service=${MODEL_SERVICE}`);
    const { entries } = EntriesDocument.parse(JSON.parse(answer.text));
    return {
      name: '',
      passed: entries.length === this.#system.entries.length,
      detail: entries.map(({ address, availabilityZone }) => `${address} (${availabilityZone})`).join(', '),
    };
  }

  async #stream(): Promise<DemoStep> {
    const prompt = 'Suggest lettering for a curved flacon';
    const answer = await callSystem(this.#anyCallerAddress(), 'POST', '/v1/chat/completions', {
      model: MODEL_SERVICE, messages: [{ role: 'user', content: prompt }], max_tokens: ANSWER_TOKENS, stream: true,
    });
    const text = readStreamText(answer.text);
    const passed = text === expectedAnswer(promptOf([{ role: 'user', content: prompt }]), ANSWER_TOKENS);
    return { name: '', passed, detail: passed ? `${ANSWER_TOKENS} tokens, whole` : answer.text.slice(-200) };
  }

  async #book(): Promise<DemoStep> {
    const path = `/v1/services/${PLAIN_SERVICE}/slots`;
    const [first, second] = this.#callerAddresses();
    const booking = { slot: '2026-12-12T09:00' };
    const book = (address = '') => callTwiceIfRefused(
      () => callSystem(address, 'POST', path, booking, 'wedding-flacon-1'),
    );
    const { answer: one, isRepeated: isFirstRepeated } = await book(first);
    await pause(NOTICE_MILLISECONDS / 10);
    const { answer: two, isRepeated: isSecondRepeated } = await book(second);
    const runs = (await this.#journal()).runs
      .filter(({ method, path: run }) => method === 'POST' && run.startsWith('/slots')).length;
    const repeated = Number(isFirstRepeated) + Number(isSecondRepeated);
    const repeats = repeated === 0 ? '' : `; ${repeated} refused as not run and repeated`;
    return {
      name: '',
      passed: one.status === 201 && two.status === 201 && one.text === two.text && runs === 1,
      detail: `statuses ${one.status}, ${two.status}; runs at the target ${runs}${repeats}`,
    };
  }

  async #takeOut(): Promise<DemoStep> {
    const zone = await this.#zoneInUse();
    const load = new LoadLoop(() => chat(this.#anyCallerAddress(), 'order summary'));
    load.start();
    const result = await runCommand(this.#system, ['take-out', 'zone', zone, '--wait']);
    await pause(NOTICE_MILLISECONDS);
    const noticed = new Date();
    await pause(OBSERVED_MILLISECONDS);
    const outcome = await load.stop();
    const late = await this.#runsInZoneSince(zone, noticed);
    return {
      name: '',
      passed: result.code === 0 && outcome.failed === 0 && outcome.answered > 0 && late === 0,
      detail: `${zone}: ${outcome.answered} answered, ${outcome.failed} failed${outcome.example}, `
        + `${late} new in the zone after 3 s`,
    };
  }

  async #bringBack(): Promise<DemoStep> {
    const { availabilityZonesOut } = await this.#status();
    const zone = availabilityZonesOut[0] ?? 'none';
    const load = new LoadLoop(() => chat(this.#anyCallerAddress(), 'order summary'));
    load.start();
    const result = await runCommand(this.#system, ['bring-back', 'zone', zone, '--wait']);
    const serving = await waitUntil(() => this.#allServing(), SERVING_TIMEOUT_MILLISECONDS);
    await pause(OBSERVED_MILLISECONDS);
    const outcome = await load.stop();
    const { fellOver } = await this.#journal();
    return {
      name: '',
      passed: result.code === 0 && serving && outcome.failed === 0 && fellOver === 0,
      detail: `${zone}: ${outcome.answered} answered, ${outcome.failed} failed${outcome.example}, `
        + `${fellOver} targets fell over`,
    };
  }

  async #allServing(): Promise<boolean> {
    const { services } = await this.#status();
    return services.length > 0
      && services.every((service) => service.replicasServing >= service.replicasWanted);
  }

  async #status(): Promise<StatusDocument> {
    const address = String(this.#system.entries[0]?.addresses.administrationAddress);
    const answer = await request(`http://${address}/admin/v1/status`, {
      headers: { authorization: `Bearer ${this.#system.token}` },
    });
    return StatusDocument.parse(await answer.body.json());
  }

  /** The zone of the first replica of the model service. */
  async #zoneInUse(): Promise<string> {
    const { services } = await this.#status();
    const vm = services.find(({ service }) => service === MODEL_SERVICE)?.replicas[0]?.vms[0] ?? '';
    return vm.replace(/-model-\d+$/, '');
  }

  async #journal(): Promise<JournalDocument> {
    const answer = await request(`http://${String(this.#system.vms.addresses.controlAddress)}/journal`);
    return JournalDocument.parse(await answer.body.json());
  }

  async #runsInZoneSince(zone: string, since: Date): Promise<number> {
    const control = String(this.#system.vms.addresses.controlAddress);
    const vms = await request(`http://${control}/vms`);
    const names = JSON.stringify(await vms.body.json()).match(new RegExp(`${zone}-(model|plain)-\\d+`, 'g')) ?? [];
    const journals = await Promise.all([...new Set(names)].map(async (vm) => {
      const answer = await request(`http://${control}/vms/${vm}/journal`);
      return JournalDocument.parse(await answer.body.json());
    }));
    return journals.flatMap(({ runs }) => runs).filter(({ startedAt }) => new Date(startedAt) > since).length;
  }

  #callerAddresses(): readonly string[] {
    return this.#system.entries.map(({ addresses }) => String(addresses.callerAddress));
  }

  #anyCallerAddress(): string {
    const addresses = this.#callerAddresses();
    return addresses[Math.floor(Math.random() * addresses.length)] ?? '';
  }
}
