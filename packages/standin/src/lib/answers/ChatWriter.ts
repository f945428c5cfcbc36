/** Sends a chat answer while it is generated. */
export default interface ChatWriter {
  token(position: number, content: string): void;
  /** Sends what is left. Nothing may be sent after it. */
  end(): void;
}
