import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import ChatAnswer from '../answers/ChatAnswer.js';
import ChatRequest from '../answers/ChatRequest.js';
import createChatWriter from '../answers/createChatWriter.js';
import type ChatWriter from '../answers/ChatWriter.js';
import type Engine from '../engine/Engine.js';
import readIdentity from '../engine/readIdentity.js';
import type RunningRequest from '../engine/RunningRequest.js';
import answerProblem from '../server/answerProblem.js';
import echoHeaders from '../server/echoHeaders.js';
import readBody from '../server/readBody.js';
import type ServerApp from '../server/ServerApp.js';
import sleep from '../sleep.js';
import acceptCall from './acceptCall.js';

interface Generation {
  readonly body: ChatRequest;
  readonly answer: ChatAnswer;
  readonly writer: ChatWriter;
  readonly running: RunningRequest;
}

async function generate(engine: Engine, generation: Generation): Promise<void> {
  const {
    body, answer, writer, running,
  } = generation;
  const { members } = engine.load;
  if (members === undefined) {
    return;
  }
  await members.watchWhile(() => engine.batch.generate({
    firstToken: answer.firstToken,
    endToken: answer.endToken,
    prefillTokens: engine.prefixCache.use(answer.prompt),
    priority: body.priority,
    signal: running.signal,
    onToken: (position) => writer.token(position, answer.addToken(position, members.isWhole)),
  }));
  await sleep(engine.faults.takeDelay(), running.signal);
  await engine.gate.pass();
  if (!running.signal.aborted) {
    running.finish();
    writer.end();
  }
}

/** Adds `POST /v1/chat/completions`. */
export default function addChatRoute(app: ServerApp, engine: Engine): void {
  app.post('/v1/chat/completions', async (context) => {
    const body = await readBody(context, ChatRequest);
    if (body.isErr()) {
      return answerProblem(context, body.error);
    }
    const identity = readIdentity(context);
    const accepted = acceptCall(context, engine, identity);
    if (accepted.isErr()) {
      return answerProblem(context, accepted.error.error, accepted.error.status);
    }
    const answer = new ChatAnswer(body.value, identity.requestId ?? '', engine.clock.now());
    const duplicate = engine.faults.takeDuplicate();
    const writer = createChatWriter(
      context.env.outgoing,
      answer,
      echoHeaders(identity),
      { stream: body.value.stream, duplicate },
    );
    await generate(engine, {
      body: body.value, answer, writer, running: accepted.value,
    });
    return RESPONSE_ALREADY_SENT;
  });
}
