/**
 * Splits a byte stream into lines. An unterminated last line is dropped.
 * @param stream - chunks of UTF-8 text
 * @returns the lines that are not blank
 */
export async function * readLines (stream: AsyncIterable<Buffer>): AsyncGenerator<string> {
  const decoder = new TextDecoder()
  let remainder = ''
  for await (const chunk of stream) {
    remainder += decoder.decode(chunk, { stream: true })
    const lines = remainder.split('\n')
    remainder = lines.pop() ?? ''
    for (const line of lines) {
      if (line.trim() !== '') yield line
    }
  }
}
