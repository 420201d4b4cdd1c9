package cacheproxy.proxy;

import cacheproxy.admin.Metrics;
import cacheproxy.limits.BufferPurpose;
import cacheproxy.limits.ByteAccount;
import cacheproxy.limits.ConnectionAdmissionPolicy;
import cacheproxy.limits.DisconnectReason;
import cacheproxy.limits.FairShare;
import cacheproxy.limits.MinimumRateMonitor;
import cacheproxy.limits.ResourcePressure;
import cacheproxy.proxy.Exchange.Command;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * One client connection: decodes commands, passes requests to the dispatcher and writes exactly one
 * answer per command, in the order of the commands. The proxy closes a healthy connection only
 * between requests.
 */
final class ClientConnection extends ByteToMessageDecoder
    implements ConnectionAdmissionPolicy.EvictionCandidate, FairShare.Holder {
  /** The component that holds the connection's slot and is notified of its activity. */
  interface Owner {
    /** The client sent its first request. */
    void firstRequestReceived(ClientConnection client);

    /** A request of the client was answered. */
    void requestAnswered(ClientConnection client);

    /** A command of the client was rejected with an error, or the proxy disconnected the client. */
    void commandRejected(ClientConnection client);

    /**
     * How long the error of a rejected command is delayed in addition, in milliseconds, because
     * commands from the client's address were rejected repeatedly.
     */
    double errorBackoffMs(ClientConnection client);

    /** A server has given the response to a request; its size is in bytes. */
    void responseReceived(int bytes);

    /**
     * Whether a client that is owed an answer may have a further command accepted: the answer is
     * expected to fit into memory, together with those of all open requests and one for each
     * client.
     */
    boolean hasMemoryForPipelinedCommand();

    /**
     * There is no memory for another answer. Disconnects a client that is behind in reading its
     * answers by more than its grace, to free the memory that it holds.
     */
    void responseMemoryExhausted();

    /**
     * The number of pipelined commands that a client may have open while it has read no answer yet
     * or has not read all that was written.
     */
    int maxUnreadPipelined();
  }

  /**
   * Open commands per connection. Bounds memory against a client that sends commands without
   * reading answers.
   */
  static final int MAX_PIPELINED = 16;

  /** Open commands that a client may have in any case before it has read an answer. */
  private static final int MIN_UNPROVEN_PIPELINED =
      ResourcePressure.Level.CRITICAL.maxUnreadPipelined();

  /**
   * After closing its output, the proxy waits this long for the client to close its side. An
   * immediate close with unread input would send a reset, which could discard the last answer.
   */
  private static final long HALF_CLOSE_TIMEOUT_MS = 300;

  /**
   * An error line is delayed by this time and by the backoff of the client's address, but sent no
   * later than {@link #ERROR_DEADLINE_MS} after the client connected. Limits clients that send
   * invalid input at full speed and reconnect after each error to one connection per second. A
   * client that sent a single invalid command waits as long for its error.
   */
  private static final double ERROR_DELAY_MS = 1000;

  private static final double ERROR_DEADLINE_MS = 2000;

  /**
   * The longest gap between two requests is multiplied by this factor at each further request, so
   * that old gaps lose weight.
   */
  private static final double GAP_DECAY = 0.9;

  /**
   * Maximum number of reads per read-ahead. Bounds the loop for a connection that is closing: its
   * input is dropped, so the byte bound is never reached.
   */
  private static final int MAX_READ_AHEAD_READS = 64;

  /**
   * Input that waited unread for longer than this is not executed until the proxy has checked
   * whether the client has disconnected.
   */
  private static final double STALE_INPUT_MS = 150;

  /**
   * A connection is closed after more errors than this, even if the ends of its invalid commands
   * could be recognized.
   */
  private static final int MAX_ERRORS = 3;

  private final Dispatcher dispatcher;
  private final Owner owner;
  private final ByteAccount account;

  /** Monitors the rate at which an incomplete command arrives. */
  private final MinimumRateMonitor commandRate;

  private final OutputProgress output;
  private final ArrayDeque<Exchange> exchanges = new ArrayDeque<>();
  private ChannelHandlerContext ctx;

  /** The write command whose value is being read; null if there is none. */
  private Command incomingWrite;

  private int missingBytes;

  /**
   * The error for the incoming write, whose value is then discarded; null if the write is accepted.
   */
  private String writeRejection;

  private double writeRejectionMaxDelayMs;
  private boolean closing;
  private boolean outputClosed;
  private boolean readPaused;

  /**
   * Input waits because no command was accepted. It may then hold more commands than one read, and
   * is no flood.
   */
  private boolean inputWaiting;

  /** An error line waits to be sent; until then the connection is not read. */
  private boolean errorPending;

  /**
   * Input is buffered without being decoded while the proxy checks whether the client has
   * disconnected.
   */
  private boolean readingAhead;

  /** Input was received since this flag was last cleared. */
  private boolean inputReceived;

  private int errorCount;
  private boolean requestSeen;
  private double lastRequestMs;
  private double decayedGapMs;

  private boolean sendBufferBounded;
  private double connectedMs;
  private double lastActiveMs;

  private Object address = "";
  private final double drainDraw;

  ClientConnection(Dispatcher dispatcher, Owner owner) {
    this.dispatcher = dispatcher;
    this.owner = owner;
    account = dispatcher.accounts().open();
    drainDraw = dispatcher.nextDrainFraction();
    commandRate = new MinimumRateMonitor(dispatcher.limits().clientWriteRate());
    output = new OutputProgress(dispatcher.limits().clientReadRate());
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    ctx = context;
    connectedMs = lastActiveMs = dispatcher.now();
    if (ctx.channel().remoteAddress() instanceof InetSocketAddress remote) {
      address = remote.getAddress();
    }
  }

  /** The client's IP address; an empty string if it is unknown. */
  Object address() {
    return address;
  }

  @Override
  public ByteAccount account() {
    return account;
  }

  /**
   * The time by which the client is behind its minimum rate. One that is owed an answer has its
   * complete grace first, as a disconnect loses that answer.
   */
  @Override
  public double deficitMs(double now) {
    return isOwedAnswer() ? output.overdueMs(now, ctx.channel()) : commandRate.deficitMs(now);
  }

  /**
   * Whether an accepted request has no answer yet, or an answer is not written. Closing the
   * connection would lose it.
   */
  boolean isOwedAnswer() {
    if (output.isPending()) {
      return true;
    }
    for (Exchange exchange : exchanges) {
      if (exchange.command != null) {
        return true;
      }
    }
    return false;
  }

  /**
   * Whether the connection is between requests: no request is open, no answer is unwritten and no
   * command has begun.
   */
  boolean isIdle() {
    return exchanges.isEmpty()
        && incomingWrite == null
        && !output.isPending()
        && actualReadableBytes() == 0;
  }

  /**
   * Reads the input that is available in the kernel. Returns whether there was any, or the client
   * has disconnected.
   */
  boolean readAvailableInput() {
    if (readPaused || !(ctx.channel() instanceof AbstractNioChannel nio) || !nio.isActive()) {
      return false;
    }
    inputReceived = false;
    nio.unsafe().read();
    boolean received = inputReceived;
    if (readingAhead) { // the caller needs the input decoded, not only buffered
      resumeDecoding();
    }
    return received || !nio.isActive();
  }

  /**
   * While reading is paused, a disconnect would go unnoticed, and attempts for the client's waiting
   * requests would still be sent. Reads ahead, up to a bound, only to detect the end of the stream.
   */
  void detectDisconnectIfPaused() {
    if (readPaused && exchanges.stream().anyMatch(x -> x.command != null && !x.finished)) {
      readAhead();
    }
  }

  private void readAhead() {
    if (outputClosed || !(ctx.channel() instanceof AbstractNioChannel nio)) {
      return;
    }
    readingAhead = true;
    inputReceived = true;
    int maxBytes = ClientReadBufferSizer.maxReadAheadBytes(dispatcher.accounts());
    for (int i = 0;
        i < MAX_READ_AHEAD_READS
            && inputReceived
            && nio.isActive()
            && actualReadableBytes() < maxBytes;
        i++) {
      inputReceived = false;
      nio.unsafe().read();
    }
    readingAhead = false;
  }

  /** Decodes the buffered input, unless the client has disconnected in the meantime. */
  private void resumeDecoding() {
    readAhead();
    if (ctx.channel().isActive()) {
      ctx.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER);
      updateInputAccounting();
    }
  }

  @Override
  public boolean isBusy() {
    return !isIdle();
  }

  @Override
  public double longestGapMs() {
    return decayedGapMs;
  }

  @Override
  public long completedRequests() {
    return account.completedRequests();
  }

  /**
   * No request of the client was ever answered and none is open, or the connection is being
   * rejected or closed and no request is open. Such connections are evicted first.
   */
  @Override
  public boolean isUnproductive() {
    return outputClosed
        || errorPending && !isOwedAnswer()
        || completedRequests() == 0 && exchanges.isEmpty() && !output.isPending();
  }

  @Override
  public double inactiveSinceMs() {
    return lastActiveMs;
  }

  /**
   * Why the client is to be disconnected: it is silent, or below the minimum rate in sending a
   * command or reading answers. Null if it is to stay connected.
   *
   * <p>A client that reads answers always has its complete grace: a disconnect loses the request
   * that is being answered, whoever uses up the proxy's resources. A command that is not complete
   * has not been accepted yet.
   *
   * @param graceFactor the part of its usual grace that a client is granted that is silent or
   *     within a command
   */
  DisconnectReason reasonToDisconnect(double now, double graceFactor) {
    if (output.isTooSlow(now, ctx.channel())) {
      return DisconnectReason.SLOW_READER;
    }
    if (errorPending) {
      return null; // the proxy does not read, so the client is not at fault
    }
    if (commandRate.isTooSlow(now, graceFactor)) {
      return DisconnectReason.SLOW_WRITER;
    }
    boolean silent =
        completedRequests() == 0
            && exchanges.isEmpty()
            && incomingWrite == null
            && actualReadableBytes() == 0;
    return silent
            && !outputClosed
            && now - connectedMs > dispatcher.limits().silentMs() * graceFactor
        ? DisconnectReason.SILENT
        : null;
  }

  void close() {
    ctx.close();
  }

  /**
   * Rejects the command that the client sends too slowly. The answers to earlier commands are still
   * given, and the connection is closed after them.
   */
  void rejectIncompleteCommand() {
    closing = true;
    commandRate.end();
    discardIncomingWrite();
    rejectCommand("CLIENT_ERROR command too slow");
  }

  private void discardIncomingWrite() {
    if (incomingWrite != null) {
      releaseCommand(incomingWrite);
    }
    incomingWrite = null;
  }

  // ---- commands

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
    if (closing) {
      in.skipBytes(in.readableBytes());
      return;
    }
    if (readingAhead) {
      return;
    }
    if (errorPending || !mayAcceptCommand()) {
      inputWaiting |= !errorPending;
      pauseReading();
      return;
    }
    try {
      if (incomingWrite != null) {
        readValue(in);
      } else {
        if (exchanges.isEmpty() && !inputWaiting) {
          CommandFlood.check(in);
        }
        String line = MetaCodec.readLine(in);
        if (line != null) {
          commandRate.end(); // the next command is monitored separately
          handleCommand(line);
        }
      }
      inputWaiting &= in.isReadable();
    } catch (MetaCodec.SyntaxException e) {
      // The boundaries of the following commands are unknown.
      closing = true;
      rejectCommand("CLIENT_ERROR " + e.getMessage());
    }
  }

  /**
   * Whether another command may be accepted. If not, it stays unread. A client that is owed nothing
   * always has one accepted, so that each client makes progress.
   */
  private boolean mayAcceptCommand() {
    return exchanges.size() < maxOpenCommands()
        && (incomingWrite != null || isResponseMemoryFree())
        && ctx.channel().isWritable()
        && account.reservedBytes(BufferPurpose.CLIENT_RESPONSE)
            < dispatcher.limits().responseBytesPerClient();
  }

  private int maxOpenCommands() {
    return output.hasBegun() && !output.isPending()
        ? MAX_PIPELINED
        : Math.min(MAX_PIPELINED, owner.maxUnreadPipelined());
  }

  /** Whether memory for the answer to another command is free, or is not asked for. */
  private boolean isResponseMemoryFree() {
    boolean first = output.hasBegun() ? !isOwedAnswer() : exchanges.size() < MIN_UNPROVEN_PIPELINED;
    return first || owner.hasMemoryForPipelinedCommand();
  }

  private void handleCommand(String line) throws MetaCodec.SyntaxException {
    if (line.equals("mn")) {
      answerLocally("MN");
      return;
    }
    boolean write = line.startsWith("ms ");
    if (!write && !line.startsWith("mg ")) {
      rejectCommand("ERROR");
      return;
    }
    double startMs = dispatcher.loadShedder() == null ? 0 : dispatcher.now();
    // The length is parsed first, so that the value of an invalid command can be skipped.
    int length =
        write
            ? MetaCodec.parseLength(
                MetaCodec.tokenAt(line, 4 + MetaCodec.tokenAt(line, 3).length()),
                MetaCodec.MAX_REQUEST_VALUE_BYTES)
            : 0;
    Command command = MetaCodec.parseCommand(line, write);
    String invalidReason =
        command == null
            ? "bad command line format"
            : write ? dispatcher.validationError(command) : null;
    String rejection = invalidReason != null ? null : dispatcher.overloadRejection(command);
    boolean shedEarly = rejection != null;
    if (invalidReason == null && !shedEarly) {
      invalidReason = write ? null : dispatcher.validationError(command);
      rejection = invalidReason == null ? dispatcher.deadlineRejection(command) : null;
    }
    if (write) {
      incomingWrite = command;
      missingBytes = length + 2;
      writeRejection =
          invalidReason != null
              ? invalidReason
              : rejection != null
                  ? rejection
                  : tryReserve(command, missingBytes) ? null : MetaCodec.BUSY;
      writeRejectionMaxDelayMs = maxErrorDelayMs(command, invalidReason);
      if (writeRejection == null) {
        incomingWrite.value = ctx.alloc().buffer(Math.min(missingBytes, 16 << 10), missingBytes);
      } else {
        incomingWrite = new Command("", "", true, "", "", "");
      }
    } else if (rejection != null) {
      rejectRequest(rejection);
    } else if (invalidReason != null) {
      rejectCommand("CLIENT_ERROR " + invalidReason, maxErrorDelayMs(command, invalidReason));
    } else if (tryReserve(command, 0)) {
      acceptRequest(command);
    } else {
      rejectRequest(MetaCodec.BUSY); // no memory for the line; nothing was sent
    }
    if (shedEarly) {
      dispatcher.loadShedder().recordRejected(dispatcher.now() - startMs);
    }
  }

  /** Reserves memory for the command's line and value; returns false if there is none. */
  private boolean tryReserve(Command command, int valueBytes) {
    int bytes = command.lineBytes() + valueBytes;
    if (!account.tryReserve(BufferPurpose.REQUEST_VALUE, bytes)) {
      return false;
    }
    command.reservedBytes = bytes;
    return true;
  }

  private double maxErrorDelayMs(Command command, String invalidReason) {
    return command == null || invalidReason == null
        ? Double.POSITIVE_INFINITY
        : dispatcher.errorDueWithinMs(command, invalidReason);
  }

  private void readValue(ByteBuf in) throws MetaCodec.SyntaxException {
    int n = Math.min(missingBytes, in.readableBytes());
    missingBytes -= n;
    if (writeRejection != null) {
      in.skipBytes(n);
    } else {
      incomingWrite.value.writeBytes(in, n);
    }
    if (missingBytes > 0) {
      return;
    }
    Command command = incomingWrite;
    incomingWrite = null;
    commandRate.end();
    if (writeRejection == null) {
      int end = command.value.writerIndex();
      if (command.value.getByte(end - 2) != '\r' || command.value.getByte(end - 1) != '\n') {
        releaseCommand(command);
        throw new MetaCodec.SyntaxException("bad data chunk");
      }
      acceptRequest(command);
    } else if (writeRejection.startsWith(MetaCodec.BUSY)) {
      rejectRequest(writeRejection); // no memory for the value, or no time; nothing was sent
    } else {
      rejectCommand("CLIENT_ERROR " + writeRejection, writeRejectionMaxDelayMs);
    }
  }

  private void acceptRequest(Command command) {
    Exchange exchange = new Exchange(this, command);
    exchanges.add(exchange);
    recordRequest();
    dispatcher.submit(exchange);
  }

  private void recordRequest() {
    double now = dispatcher.now();
    if (requestSeen) {
      decayedGapMs = Math.max(now - lastRequestMs, decayedGapMs * GAP_DECAY);
    }
    lastRequestMs = lastActiveMs = now;
    if (!requestSeen) {
      requestSeen = true;
      owner.firstRequestReceived(this);
    }
  }

  /** Releases the line and value of a command that no further attempt needs. */
  void releaseCommand(Command command) {
    account.release(BufferPurpose.REQUEST_VALUE, command.reservedBytes);
    command.reservedBytes = 0;
    command.release();
  }

  // ---- answers

  /** Answers a command without the dispatcher. */
  private void answerLocally(String line) {
    Exchange exchange = new Exchange(this, null);
    exchanges.add(exchange);
    answer(exchange, MetaCodec.asciiBuffer(ctx.alloc(), line + "\r\n"), null);
  }

  /**
   * Rejects a request before it reaches the routing module. It counts as answered, and no attempt
   * was sent for it.
   */
  private void rejectRequest(String line) {
    recordRequest();
    account.requestCompleted();
    owner.requestAnswered(this);
    answerLocally(line);
  }

  private void rejectCommand(String line) {
    rejectCommand(line, Double.POSITIVE_INFINITY);
  }

  /**
   * Rejects a command with an error line, which is delayed and sent in the order of the commands;
   * until then nothing more is read.
   *
   * @param withinMs upper bound on the delay, in milliseconds
   */
  private void rejectCommand(String line, double withinMs) {
    double errorDelayMs = ERROR_DELAY_MS + owner.errorBackoffMs(this);
    owner.commandRejected(this);
    closing |= ++errorCount > MAX_ERRORS || dispatcher.now() - connectedMs > ERROR_DEADLINE_MS;
    errorPending = true;
    pauseReading();
    Exchange exchange = new Exchange(this, null);
    exchanges.add(exchange);
    double delayMs =
        Math.max(
            0,
            Math.min(
                Math.min(errorDelayMs, withinMs),
                connectedMs + ERROR_DEADLINE_MS - dispatcher.now()));
    ctx.executor()
        .schedule(
            () -> {
              errorPending = false;
              if (ctx.channel().isActive()) {
                answer(exchange, MetaCodec.asciiBuffer(ctx.alloc(), line + "\r\n"), null);
              }
            },
            (long) delayMs,
            TimeUnit.MILLISECONDS);
  }

  /**
   * Accepts the final answer to a command and takes ownership of its buffer.
   *
   * @param result the result for the metrics; null if the command is not counted as a request
   */
  void answer(Exchange exchange, ByteBuf answer, Metrics.Result result) {
    if (outputClosed) {
      answer.release();
      return;
    }
    if (result == Metrics.Result.SERVED) {
      owner.responseReceived(answer.readableBytes());
    }
    exchange.answer = reserveMemory(exchange, answer);
    if (result != null) {
      boolean memoryReserved = exchange.answer == answer;
      dispatcher
          .metrics()
          .requestEnded(
              exchange.classIndex,
              memoryReserved
                  ? result
                  : exchange.idempotent ? Metrics.Result.REJECTED : Metrics.Result.FAILED);
    }
    if (outputClosed) {
      exchange.answer.release(); // this client was disconnected to free memory
      account.release(BufferPurpose.CLIENT_RESPONSE, exchange.reservedBytes);
      exchange.answer = null;
      return;
    }
    if (exchange.command != null) {
      account.requestCompleted();
      owner.requestAnswered(this);
    }
    writeAnswers();
  }

  /**
   * Reserves memory for the answer. If there is none, even after a client that is past its grace
   * was disconnected, returns an error line instead. The request has already been executed, so the
   * error is "busy" only if a repetition is harmless, and "failed" otherwise.
   */
  private ByteBuf reserveMemory(Exchange exchange, ByteBuf answer) {
    exchange.reservedBytes = answer.capacity();
    if (account.tryReserve(BufferPurpose.CLIENT_RESPONSE, exchange.reservedBytes)) {
      return answer;
    }
    owner.responseMemoryExhausted();
    if (account.tryReserve(BufferPurpose.CLIENT_RESPONSE, exchange.reservedBytes)) {
      return answer;
    }
    answer.release();
    dispatcher.disconnectCounters().increment(DisconnectReason.NO_CAPACITY);
    ByteBuf errorLine =
        MetaCodec.asciiBuffer(
            ctx.alloc(), exchange.idempotent ? MetaCodec.BUSY + "\r\n" : MetaCodec.FAILED);
    exchange.reservedBytes = errorLine.capacity();
    account.tryReserve(
        BufferPurpose.CLIENT_RESPONSE, exchange.reservedBytes); // may fail: an error line is short
    return errorLine;
  }

  private void writeAnswers() {
    boolean wrote = false;
    Exchange head;
    while (!outputClosed
        && (head = exchanges.peek()) != null
        && (head.answer != null || head.streamedResponse != null)) {
      if (head.streamedResponse != null) {
        wrote |= writeParts(head.streamedResponse);
        if (!head.streamedResponse.done()) {
          break;
        }
        exchanges.poll();
        continue;
      }
      int bytes = head.answer.readableBytes();
      int held = head.reservedBytes;
      output.addAnswer(bytes);
      boundSendBuffer();
      ctx.write(head.answer).addListener(f -> writeCompleted(bytes, held));
      head.answer = null;
      wrote = true;
      exchanges.poll();
    }
    if (wrote) {
      lastActiveMs = dispatcher.now();
      output.begin(lastActiveMs);
      ctx.flush();
    }
    resumeReadingIfAllowed();
    if (closing) {
      finishIfDone();
    }
  }

  /**
   * Limits the socket's send buffer as soon as it could grow large; most connections end before
   * that, and are spared two system calls.
   */
  private void boundSendBuffer() {
    int maxBufferBytes = dispatcher.limits().sendBufferBytes();
    if (!sendBufferBounded && output.totalBytes() > maxBufferBytes / 4) {
      sendBufferBounded = true;
      ctx.channel().config().setOption(ChannelOption.SO_SNDBUF, maxBufferBytes);
    }
  }

  private boolean writeParts(StreamedResponse passage) {
    boolean wrote = false;
    for (ByteBuf part; (part = passage.next()) != null; wrote = true) {
      int bytes = part.readableBytes();
      output.add(bytes);
      boundSendBuffer();
      ctx.write(part)
          .addListener(
              f -> {
                account.release(BufferPurpose.STREAMING, bytes);
                writeCompleted(bytes, 0);
                passage.written(bytes);
              });
    }
    return wrote;
  }

  /** Adds the next part of a streamed response and takes ownership of its buffer. */
  void addResponsePart(Exchange exchange, ByteBuf part) {
    if (outputClosed) {
      part.release();
      return;
    }
    account.setReserved(
        BufferPurpose.STREAMING,
        account.reservedBytes(BufferPurpose.STREAMING) + part.readableBytes());
    exchange.streamedResponse.add(part);
    writeAnswers();
    exchange.streamedResponse.updateAutoRead();
  }

  /**
   * The streamed response has ended, either completely or because the upstream connection ended
   * early.
   */
  void streamingEnded(Exchange exchange, boolean complete) {
    StreamedResponse passage = exchange.streamedResponse;
    dispatcher
        .metrics()
        .requestEnded(
            exchange.classIndex, complete ? Metrics.Result.SERVED : Metrics.Result.FAILED);
    if (complete) {
      passage.complete();
      account.requestCompleted();
      owner.requestAnswered(this);
      writeAnswers();
    } else if (passage.begun()) {
      // Closing the connection is the only way to signal that the value is incomplete.
      ctx.close();
    } else {
      account.release(BufferPurpose.STREAMING, passage.discard());
      exchange.streamedResponse = null;
      answer(exchange, MetaCodec.asciiBuffer(ctx.alloc(), MetaCodec.FAILED), null);
    }
  }

  /**
   * Called when an answer, or a part of a streamed response, was written to the socket or discarded
   * with its connection.
   *
   * @param bytes the number of bytes written
   * @param held the reserved memory to release, in bytes
   */
  private void writeCompleted(int bytes, int held) {
    account.release(BufferPurpose.CLIENT_RESPONSE, held);
    output.written(dispatcher.now(), bytes);
    if (!output.isPending() && (closing || dispatcher.shouldCloseForDrain(drainDraw))) {
      ctx.executor().execute(this::finishIfDone); // not within the flush that wrote the answer
    }
    if (readPaused) {
      resumeReadingIfAllowed();
    }
  }

  /**
   * Closes the output if only unwritten answers had delayed that. During a drain the client may
   * have sent another request in the meantime: input that is available in the kernel is read first,
   * and its requests are answered.
   */
  private void finishIfDone() {
    if (exchanges.isEmpty()
        && !output.isPending()
        && (closing
            || dispatcher.shouldCloseForDrain(drainDraw) && isIdle() && !readAvailableInput())) {
      finish();
    }
  }

  /** Resumes reading if it was paused and another command may be accepted. */
  private void resumeReadingIfAllowed() {
    if (readPaused && !errorPending && mayAcceptCommand() && ctx.channel().isActive()) {
      readPaused = false;
      readingAhead =
          true; // buffered input may be stale: check first whether the client has disconnected
      ctx.channel().config().setAutoRead(true);
      // Without this call, the decoder would not process input that it has already buffered.
      ctx.executor().execute(this::resumeDecoding);
    }
  }

  private void pauseReading() {
    readPaused = true;
    ctx.channel().config().setAutoRead(false);
  }

  /**
   * Closes the output and waits for the client to close its side: closing with unread input would
   * send a reset, which could overtake the last answer.
   */
  void finish() {
    if (outputClosed) {
      return;
    }
    outputClosed = true;
    closing = true;
    // After an error the remaining input, which may be large, is not needed.
    ctx.channel().config().setAutoRead(errorCount == 0);
    ((DuplexChannel) ctx.channel()).shutdownOutput();
    ctx.executor()
        .schedule(
            () -> {
              ctx.close();
            },
            HALF_CLOSE_TIMEOUT_MS,
            TimeUnit.MILLISECONDS);
  }

  /**
   * Accounts for buffered input, and starts or stops monitoring the client's sending rate: time
   * during which the proxy does not read is not counted against the client.
   */
  private void updateInputAccounting() {
    account.setReserved(BufferPurpose.INPUT, internalBuffer().capacity());
    if (!readPaused && (incomingWrite != null || actualReadableBytes() > 0)) {
      commandRate.begin(dispatcher.now());
    } else {
      commandRate.end();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    inputReceived = true;
    int bytes = ((ByteBuf) message).readableBytes();
    commandRate.transferred(dispatcher.now(), bytes);
    if (bytes > 0 && !readingAhead && dispatcher.queueDelayMs() > STALE_INPUT_MS) {
      readingAhead = true;
      super.channelRead(context, message);
      ctx.executor().execute(this::resumeDecoding);
    } else {
      super.channelRead(context, message);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) throws Exception {
    if (readPaused) {
      // The base class would continue to read, as it has emitted no message.
      discardSomeReadBytes();
      context.fireChannelReadComplete();
    } else {
      super.channelReadComplete(context);
    }
    updateInputAccounting();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    lastActiveMs = dispatcher.now();
    resumeReadingIfAllowed();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) throws Exception {
    closing = true;
    outputClosed = true;
    super.channelInactive(context);
    discardIncomingWrite();
    for (Exchange e; (e = exchanges.poll()) != null; ) {
      if (e.streamedResponse != null) {
        account.release(BufferPurpose.STREAMING, e.streamedResponse.discard());
      }
      if (e.answer != null) {
        account.release(BufferPurpose.CLIENT_RESPONSE, e.reservedBytes);
        e.answer.release();
        e.answer = null;
      }
      if (e.command != null) {
        dispatcher.cancelForClosedClient(e);
      }
    }
    account.setReserved(BufferPurpose.INPUT, 0);
    account.close();
    commandRate.end();
    output.end();
    dispatcher.clientDisconnected(this);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    ctx.close();
  }
}
