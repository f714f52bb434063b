/**
 * Waits until all operations have ended, however they end.
 * @param operations - operations in progress
 * @param onFailure - called as soon as one has failed, for example to abort the others
 * @returns their results
 * @throws the error of the first that failed, once all have ended
 */
export async function allEnded<T> (operations: ReadonlyArray<Promise<T>>, onFailure: () => void = () => {}): Promise<T[]> {
  const watched = operations.map(async operation => {
    try {
      return await operation
    } catch (error) {
      onFailure()
      throw error
    }
  })
  await Promise.allSettled(watched)
  return await Promise.all(watched)
}
